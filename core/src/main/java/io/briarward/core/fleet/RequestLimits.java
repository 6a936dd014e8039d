package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Decides whether this node may send a request to an upstream: not to an evacuated data centre, and
 * paced to a cold upstream ({@link ColdUpstreams}) and to one that names a limit in its responses.
 *
 * <p>An upstream's limit counts the requests of all nodes. This node sends at its share of the
 * limit, from a token bucket that is empty when the limit becomes known. The latest response to
 * this node decides whether there is a limit; without a recent one, the limit that other nodes
 * published holds. Not thread-safe.
 */
final class RequestLimits {
  /**
   * How long a response tells the limit, in milliseconds. Exceeds the longest interval between
   * requests of a sender, so that a sender's knowledge does not lapse in between.
   */
  static final long NOTICE_VALID_MILLIS = 15_000;

  /**
   * The lowest rate of a sender, in requests per second. A response is needed to learn that a limit
   * has ended.
   */
  private static final double MIN_SENDER_RATE_PER_SECOND = 0.1;

  /** The time in which a sender may send what it did not send before, in milliseconds. */
  private static final long BURST_MILLIS = 250;

  private final LimitShares shares;
  private final ColdUpstreams cold;
  private final EvacuatedDataCentres evacuated = new EvacuatedDataCentres();
  private final Map<String, Pace> paces = new HashMap<>(); // By instance key.

  RequestLimits(LimitShares shares) {
    this.shares = checkNotNull(shares, "shares");
    this.cold = new ColdUpstreams(shares);
  }

  /** The knowledge of one upstream's limit and the bucket of this node's requests to it. */
  private static final class Pace {
    final UpstreamEntry upstream;
    OptionalDouble named = OptionalDouble.empty();
    long namedAtMillis;
    double tokens;
    long filledAtMillis;
    int sent;

    Pace(UpstreamEntry upstream, long nowMillis) {
      this.upstream = upstream;
      this.namedAtMillis = nowMillis - NOTICE_VALID_MILLIS;
      this.filledAtMillis = nowMillis;
    }

    void empty(long nowMillis) {
      tokens = 0;
      filledAtMillis = nowMillis;
      sent = 0;
    }

    boolean isNoticeValid(long nowMillis) {
      return nowMillis - namedAtMillis < NOTICE_VALID_MILLIS;
    }
  }

  /**
   * Handles the limit in a response, which is empty if the response names none.
   *
   * @return whether the limit differs from that of the response before
   */
  boolean onNotice(UpstreamEntry upstream, OptionalDouble limitPerSecond, long nowMillis) {
    Optional<Pace> known = pace(upstream);
    if (known.isEmpty() && limitPerSecond.isEmpty()) {
      return false;
    }
    boolean wasLimited = limitPerSecond(upstream, nowMillis).isPresent();
    Pace pace = known.orElseGet(() -> addPace(upstream, nowMillis));
    if (!wasLimited) {
      pace.empty(nowMillis);
    }
    boolean changed = !pace.named.equals(limitPerSecond);
    pace.named = limitPerSecond;
    pace.namedAtMillis = nowMillis;
    return changed;
  }

  /** Returns the upstreams that are cold after a start. */
  ColdUpstreams cold() {
    return cold;
  }

  /** Returns the data centres whose upstreams get no requests. */
  EvacuatedDataCentres evacuated() {
    return evacuated;
  }

  /**
   * Returns whether this node may send a request to an upstream now. If it names a limit and is
   * cold, both must permit the request, so the lower one binds.
   */
  boolean permits(UpstreamEntry upstream, long nowMillis) {
    return !evacuated.contains(upstream)
        && permitsByName(upstream, nowMillis)
        && cold.permits(upstream, nowMillis);
  }

  private boolean permitsByName(UpstreamEntry upstream, long nowMillis) {
    OptionalDouble limit = limitPerSecond(upstream, nowMillis);
    if (limit.isEmpty()) {
      pace(upstream).ifPresent(pace -> pace.empty(nowMillis));
      return true;
    }
    Pace pace = pace(upstream).orElseGet(() -> addPace(upstream, nowMillis));
    fill(pace, limit.getAsDouble(), nowMillis);
    return pace.tokens >= 1;
  }

  /** Handles a request that was sent to an upstream. */
  void onSent(UpstreamEntry upstream) {
    cold.onSent(upstream);
    pace(upstream)
        .ifPresent(
            pace -> {
              pace.tokens = Math.max(0, pace.tokens - 1);
              pace.sent++;
            });
  }

  /**
   * Returns the requests per second that an upstream accepts from all nodes together, by the limit
   * that it names or since it is cold; empty if neither applies.
   */
  OptionalDouble acceptedPerSecond(UpstreamEntry upstream, long nowMillis) {
    OptionalDouble named = limitPerSecond(upstream, nowMillis);
    OptionalDouble whileCold = cold.perSecond(upstream, nowMillis);
    return named.isPresent() && whileCold.isPresent()
        ? OptionalDouble.of(Math.min(named.getAsDouble(), whileCold.getAsDouble()))
        : named.isPresent() ? named : whileCold;
  }

  /**
   * Returns the time, in milliseconds, after which upstreams may accept a request that this node
   * rejected.
   *
   * <p>It is the time until this node may send to one that is cold. If it has no share of a cold
   * one, it is the mean time in which all upstreams together accept one request of any node; empty
   * if one of them has no limit or there are none.
   */
  OptionalLong retryAfterMillis(List<UpstreamEntry> upstreams, long nowMillis) {
    OptionalLong ownMillis = cold.waitMillis(upstreams.stream(), nowMillis);
    double totalPerSecond =
        upstreams.stream()
            .mapToDouble(
                entry -> acceptedPerSecond(entry, nowMillis).orElse(Double.POSITIVE_INFINITY))
            .sum();
    if (ownMillis.isPresent() || totalPerSecond == 0 || Double.isInfinite(totalPerSecond)) {
      return ownMillis;
    }
    return OptionalLong.of(Math.round(1_000 / totalPerSecond));
  }

  /** Returns the limit that an upstream names, empty if it names none. */
  OptionalDouble limitPerSecond(UpstreamEntry upstream, long nowMillis) {
    Optional<Pace> pace = pace(upstream);
    return pace.isPresent() && pace.get().isNoticeValid(nowMillis)
        ? pace.get().named
        : shares.publishedLimit(upstream);
  }

  /**
   * Returns the limits that upstreams recently named to this node, by instance, and forgets the
   * upstreams that no node knows to be limited.
   */
  ImmutableMap<String, Double> named(long nowMillis) {
    paces
        .values()
        .removeIf(
            pace ->
                !pace.isNoticeValid(nowMillis) && shares.publishedLimit(pace.upstream).isEmpty());
    ImmutableMap.Builder<String, Double> named = ImmutableMap.builder();
    for (Pace pace : paces.values()) {
      if (pace.named.isPresent() && pace.isNoticeValid(nowMillis)) {
        named.put(pace.upstream.instanceKey(), pace.named.getAsDouble());
      }
    }
    return named.buildOrThrow();
  }

  /** Returns the number of requests sent to an upstream since it first named a limit. */
  int sent(UpstreamEntry upstream) {
    return pace(upstream).map(pace -> pace.sent).orElse(0);
  }

  private void fill(Pace pace, double limitPerSecond, long nowMillis) {
    double share = shares.share(pace.upstream, limitPerSecond);
    double ratePerSecond =
        share == 0 ? 0 : Math.max(MIN_SENDER_RATE_PER_SECOND, limitPerSecond * share);
    double capacity = Math.max(1, ratePerSecond * BURST_MILLIS / 1_000);
    double added = ratePerSecond * (nowMillis - pace.filledAtMillis) / 1_000;
    pace.tokens = Math.min(capacity, pace.tokens + added);
    pace.filledAtMillis = nowMillis;
  }

  private Optional<Pace> pace(UpstreamEntry upstream) {
    return paces.isEmpty()
        ? Optional.empty()
        : Optional.ofNullable(paces.get(upstream.instanceKey()));
  }

  private Pace addPace(UpstreamEntry upstream, long nowMillis) {
    Pace pace = new Pace(upstream, nowMillis);
    paces.put(upstream.instanceKey(), pace);
    return pace;
  }
}
