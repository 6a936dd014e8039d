package io.briarward.node.http;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.RequestOptions;
import java.util.function.Supplier;

/** Opens requests over the pooled connections of an HTTP client. */
public final class PooledRequests {
  /** One more than the closed connections that a request is likely to meet in a row. */
  private static final int MAX_ATTEMPTS = 4;

  private PooledRequests() {}

  /**
   * Returns a request that has not been sent.
   *
   * <p>The pool may offer a connection that the server closes at this moment. That says nothing
   * about whether the server can be reached, and nothing has been sent, so another connection is
   * used. Any other failure, such as a refused connection, fails the future at once.
   */
  public static Future<HttpClientRequest> open(HttpClient client, RequestOptions options) {
    return open(() -> client.request(options));
  }

  static <T> Future<T> open(Supplier<Future<T>> opening) {
    return open(opening, MAX_ATTEMPTS);
  }

  private static <T> Future<T> open(Supplier<Future<T>> opening, int attemptsLeft) {
    return opening
        .get()
        .recover(
            cause ->
                cause instanceof HttpClosedException && attemptsLeft > 1
                    ? open(opening, attemptsLeft - 1)
                    : Future.failedFuture(cause));
  }
}
