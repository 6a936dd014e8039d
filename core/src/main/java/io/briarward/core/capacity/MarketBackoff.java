package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.lease.Backoff;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the markets on which orders are suspended after a lack of capacity or a reclaim.
 *
 * <p>Times are milliseconds on one monotonic clock. Not thread-safe.
 */
final class MarketBackoff {
  private final Backoff backoff;
  private final Map<Key, Suspension> suspensions = new HashMap<>();

  private MarketBackoff(Backoff backoff) {
    this.backoff = checkNotNull(backoff, "backoff");
  }

  private record Key(String service, Market market) {}

  private record Suspension(int failures, long untilMillis) {}

  static MarketBackoff create(Backoff backoff) {
    return new MarketBackoff(backoff);
  }

  /** Returns whether upstreams may currently be ordered on the market. */
  boolean isOpen(String service, Market market, long nowMillis) {
    Suspension suspension = suspensions.get(new Key(service, market));
    return suspension == null || nowMillis >= suspension.untilMillis;
  }

  /**
   * Suspends orders on the market for a delay that grows with each consecutive failure; has no
   * effect while they are suspended.
   */
  void onUnavailable(String service, Market market, long nowMillis) {
    Key key = new Key(service, market);
    Suspension suspension = suspensions.getOrDefault(key, new Suspension(0, 0));
    if (nowMillis < suspension.untilMillis) {
      return;
    }
    int failures = suspension.failures + 1;
    suspensions.put(key, new Suspension(failures, nowMillis + backoff.delayMillis(failures)));
  }

  /** Ends the suspension of the market and resets its delay. */
  void onStarted(String service, Market market) {
    suspensions.remove(new Key(service, market));
  }
}
