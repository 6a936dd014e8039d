package io.briarward.core.fleet;

import java.util.HashMap;
import java.util.Map;

/** Estimates the rate at which requests for each service arrive. Not thread-safe. */
final class RequestMeter {
  /** The time constant of the average, in milliseconds; twice the interval of publication. */
  private static final double TIME_CONSTANT_MILLIS = 2_000;

  private final Map<String, Count> counts = new HashMap<>();

  /** A number of requests, of which older ones count less. */
  private static final class Count {
    double value;
    long atMillis;

    void decay(long nowMillis) {
      value *= Math.exp((atMillis - nowMillis) / TIME_CONSTANT_MILLIS);
      atMillis = nowMillis;
    }
  }

  /** Handles a request for a service. */
  void onRequest(String service, long nowMillis) {
    Count count = counts.computeIfAbsent(service, unused -> new Count());
    count.decay(nowMillis);
    count.value++;
  }

  /** Returns the mean number of requests per second for a service. */
  double perSecond(String service, long nowMillis) {
    Count count = counts.get(service);
    if (count == null) {
      return 0;
    }
    count.decay(nowMillis);
    return count.value * 1_000 / TIME_CONSTANT_MILLIS;
  }
}
