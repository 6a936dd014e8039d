package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.lease.Backoff;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers where the platform had no upstream to give or took some back.
 *
 * <p>Times are milliseconds of one monotonic clock. Not thread-safe.
 */
final class MarketBackoff {
  private final Backoff backoff;
  private final Map<Key, Closed> closed = new HashMap<>();

  private MarketBackoff(Backoff backoff) {
    this.backoff = checkNotNull(backoff, "backoff");
  }

  private record Key(String service, Market market) {}

  private record Closed(int failures, long untilMillis) {}

  static MarketBackoff create(Backoff backoff) {
    return new MarketBackoff(backoff);
  }

  /** Returns whether upstreams may be ordered on the market. */
  boolean open(String service, Market market, long nowMillis) {
    Closed state = closed.get(new Key(service, market));
    return state == null || nowMillis >= state.untilMillis;
  }

  /** Closes the market for a while that grows with each refusal in a row. */
  void onRefused(String service, Market market, long nowMillis) {
    Key key = new Key(service, market);
    Closed state = closed.getOrDefault(key, new Closed(0, 0));
    if (nowMillis < state.untilMillis) {
      return;
    }
    int failures = state.failures + 1;
    closed.put(key, new Closed(failures, nowMillis + backoff.delayMillis(failures)));
  }

  /** Opens the market. */
  void onStarted(String service, Market market) {
    closed.remove(new Key(service, market));
  }
}
