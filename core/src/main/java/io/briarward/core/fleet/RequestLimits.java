package io.briarward.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The limits that upstreams named in their latest responses, and this node's requests to them.
 *
 * <p>Not thread-safe.
 */
final class RequestLimits {
  private final Map<String, Limit> limits = new HashMap<>();

  private static final class Limit {
    final long startedAtMillis;
    OptionalDouble perSecond = OptionalDouble.empty();
    int sent;

    Limit(long startedAtMillis) {
      this.startedAtMillis = startedAtMillis;
    }
  }

  /**
   * Handles the limit in a response, which is empty if the response names none.
   *
   * @return whether the limit differs from that of the response before
   */
  boolean onNotice(UpstreamEntry upstream, OptionalDouble limitPerSecond) {
    Limit limit = limits.get(upstream.id());
    if (limit == null || limit.startedAtMillis != upstream.startedAtMillis()) {
      limit = new Limit(upstream.startedAtMillis());
    }
    boolean changed = !limit.perSecond.equals(limitPerSecond);
    limit.perSecond = limitPerSecond;
    if (limitPerSecond.isPresent()) {
      limits.put(upstream.id(), limit);
    } else {
      limits.remove(upstream.id());
    }
    return changed;
  }

  /** Handles a request that was sent to an upstream. */
  void onSent(String upstreamId) {
    Limit limit = limits.get(upstreamId);
    if (limit != null) {
      limit.sent++;
    }
  }

  /** Returns the number of requests sent to an upstream since it first named a limit. */
  int sent(String upstreamId) {
    Limit limit = limits.get(upstreamId);
    return limit == null ? 0 : limit.sent;
  }

  /** Forgets an upstream that is gone. */
  void remove(String upstreamId) {
    limits.remove(upstreamId);
  }
}
