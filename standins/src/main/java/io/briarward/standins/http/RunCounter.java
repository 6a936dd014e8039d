package io.briarward.standins.http;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts the requests that ran more than once, among the most recent requests.
 *
 * <p>Not thread-safe.
 */
public final class RunCounter {
  private static final int MAX_REQUESTS = 100_000;

  private final Map<String, Integer> runs =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
          return size() > MAX_REQUESTS;
        }
      };
  private long requestsRunTwice;

  private RunCounter() {}

  /** Creates a counter without requests. */
  public static RunCounter create() {
    return new RunCounter();
  }

  /** Records that a request runs. */
  public void record(String requestId) {
    int count = runs.merge(requestId, 1, Integer::sum);
    if (count == 2) {
      requestsRunTwice++;
    }
  }

  /** Returns the number of requests that ran more than once. */
  public long requestsRunTwice() {
    return requestsRunTwice;
  }
}
