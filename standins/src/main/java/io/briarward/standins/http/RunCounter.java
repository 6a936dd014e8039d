package io.briarward.standins.http;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counts how often each request was run, for the requests seen most recently. */
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

  /** Returns a counter that has seen no request. */
  public static RunCounter create() {
    return new RunCounter();
  }

  /** Counts a run of the request. */
  public void record(String requestId) {
    int count = runs.merge(requestId, 1, Integer::sum);
    if (count == 2) {
      requestsRunTwice++;
    }
  }

  /** Returns how many requests were run more than once. */
  public long requestsRunTwice() {
    return requestsRunTwice;
  }
}
