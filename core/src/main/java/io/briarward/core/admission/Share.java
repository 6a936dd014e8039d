package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A portion of a limit: a rate of started requests and a number of concurrent requests.
 *
 * @param requestsPerSecond the rate, at least 0
 * @param concurrent the number of concurrent requests, at least 0; nodes run whole requests only
 */
public record Share(double requestsPerSecond, double concurrent) {
  /** The empty share. */
  public static final Share ZERO = new Share(0, 0);

  /** Checks the fields. */
  public Share {
    checkArgument(
        requestsPerSecond >= 0, "requestsPerSecond is %s, expected >= 0", requestsPerSecond);
    checkArgument(concurrent >= 0, "concurrent is %s, expected >= 0", concurrent);
  }

  /** Returns this share multiplied by a factor. */
  public Share times(double factor) {
    return new Share(requestsPerSecond * factor, concurrent * factor);
  }

  /** Returns the sum of two shares. */
  public Share plus(Share other) {
    return new Share(requestsPerSecond + other.requestsPerSecond, concurrent + other.concurrent);
  }
}
