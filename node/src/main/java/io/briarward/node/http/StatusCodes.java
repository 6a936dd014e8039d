package io.briarward.node.http;

/** Classes of HTTP status codes. */
public final class StatusCodes {
  private static final int MIN_SUCCESS = 200;
  private static final int MAX_SUCCESS = 299;

  private StatusCodes() {}

  /** Returns whether a status code says that the request succeeded. */
  public static boolean isSuccess(int status) {
    return status >= MIN_SUCCESS && status <= MAX_SUCCESS;
  }
}
