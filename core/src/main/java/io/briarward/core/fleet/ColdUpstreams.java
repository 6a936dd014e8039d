package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * Paces this node's requests to upstreams that are cold after a start.
 *
 * <p>Answers to a data centre that returns with cold upstreams while every node has requests for
 * them. An upstream is cold until the later of the times that its registration and its responses
 * told, counted from when this node read them. The rate that it tolerates is divided evenly among a
 * few senders, see {@link ColdLimit}. A sender has a token bucket of one request, or a quarter of a
 * second of its rate, that is empty when the upstream becomes cold. Not thread-safe.
 */
public final class ColdUpstreams {
  /** The time in which a sender may send what it did not send before, in milliseconds. */
  private static final long BURST_MILLIS = 250;

  /** Bounds the time for which a single row or response takes an upstream for cold. */
  private static final long MAX_COLD_MILLIS = 3_600_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final LimitShares shares;
  private final Map<String, State> states = new HashMap<>(); // By instance key.
  private ImmutableMap<String, ColdLimit> limitsByService = ImmutableMap.of();
  private ImmutableMap<String, FleetService> services = ImmutableMap.of();
  private FleetBounds bounds = FleetBounds.DEFAULT;

  /**
   * An upstream that became cold or ceased to be cold.
   *
   * @param perSecond the requests per second of all nodes together while it is cold
   * @param ownPerSecond this node's share of them
   */
  public record Change(
      UpstreamEntry upstream, boolean cold, double perSecond, double ownPerSecond) {}

  /** The knowledge of one upstream's warm-up and the bucket of this node's requests to it. */
  private static final class State {
    UpstreamEntry upstream;
    long coldByRowUntilMillis = NEVER;
    long coldByResponseUntilMillis = NEVER;
    double tokens;
    long filledAtMillis;
    boolean reportedCold;

    State(UpstreamEntry upstream, long nowMillis) {
      this.upstream = upstream;
      this.filledAtMillis = nowMillis;
    }

    boolean isCold(long nowMillis) {
      return nowMillis < Math.max(coldByRowUntilMillis, coldByResponseUntilMillis);
    }
  }

  ColdUpstreams(LimitShares shares) {
    this.shares = checkNotNull(shares, "shares");
  }

  /** Sets the bounds on what all nodes together send. */
  public void setBounds(FleetBounds newBounds) {
    bounds = checkNotNull(newBounds, "newBounds");
    setServices(services);
  }

  /** Sets the services, which tell the rate that a cold upstream tolerates, if it warms up. */
  public void setServices(ImmutableMap<String, FleetService> newServices) {
    services = checkNotNull(newServices, "newServices");
    ImmutableMap.Builder<String, ColdLimit> limits = ImmutableMap.builder();
    services.forEach(
        (name, service) ->
            service
                .warmup()
                .ifPresent(warmup -> limits.put(name, ColdLimit.of(service, warmup, bounds))));
    limitsByService = limits.buildOrThrow();
  }

  /** Handles the registration of an upstream, which this node has just read. */
  public void onRow(UpstreamEntry upstream, long nowMillis) {
    String key = upstream.instanceKey();
    if (upstream.coldMillis() > 0 || states.containsKey(key)) {
      State state = state(upstream, nowMillis);
      state.coldByRowUntilMillis = untilMillis(upstream.coldMillis(), nowMillis);
    }
  }

  /**
   * Handles a response that tells for how long an upstream stays cold.
   *
   * @param upstream the entry to which the request was sent
   */
  public void onResponse(UpstreamEntry upstream, long coldMillis, long nowMillis) {
    checkArgument(coldMillis >= 0, "coldMillis is %s, expected >= 0", coldMillis);
    if (coldMillis > 0 || states.containsKey(upstream.instanceKey())) {
      state(upstream, nowMillis).coldByResponseUntilMillis = untilMillis(coldMillis, nowMillis);
    }
  }

  private static long untilMillis(long coldMillis, long nowMillis) {
    return coldMillis == 0 ? NEVER : nowMillis + Math.min(MAX_COLD_MILLIS, coldMillis);
  }

  /** Returns the state of an upstream; the bucket of one that is not cold yet is emptied. */
  private State state(UpstreamEntry upstream, long nowMillis) {
    State state =
        states.computeIfAbsent(upstream.instanceKey(), unused -> new State(upstream, nowMillis));
    state.upstream = upstream;
    if (!state.isCold(nowMillis)) {
      state.tokens = 0;
      state.filledAtMillis = nowMillis;
    }
    return state;
  }

  /** Returns whether an upstream is cold and its rate is therefore limited. */
  public boolean isCold(UpstreamEntry upstream, long nowMillis) {
    return limitedState(upstream, nowMillis).isPresent();
  }

  /** Returns whether this node may send a request to an upstream now. */
  boolean permits(UpstreamEntry upstream, long nowMillis) {
    Optional<State> state = limitedState(upstream, nowMillis);
    if (state.isEmpty()) {
      return true;
    }
    fill(state.get(), nowMillis);
    return state.get().tokens >= 1;
  }

  /** Handles a request that was sent to an upstream. */
  void onSent(UpstreamEntry upstream) {
    State state = states.isEmpty() ? null : states.get(upstream.instanceKey());
    if (state != null) {
      state.tokens = Math.max(0, state.tokens - 1);
    }
  }

  /** Returns the rate of all nodes together to an upstream, empty if it is not cold. */
  OptionalDouble perSecond(UpstreamEntry upstream, long nowMillis) {
    return limitedState(upstream, nowMillis).isPresent()
        ? OptionalDouble.of(limitsByService.get(upstream.service()).perSecond())
        : OptionalDouble.empty();
  }

  /**
   * Returns the shortest time until this node may send to one of the given upstreams; empty if it
   * has no share of any that is cold.
   */
  public OptionalLong waitMillis(Stream<UpstreamEntry> upstreams, long nowMillis) {
    return upstreams
        .flatMap(upstream -> limitedState(upstream, nowMillis).stream())
        .filter(state -> ownPerSecond(state.upstream, nowMillis) > 0)
        .mapToLong(state -> waitMillis(state, nowMillis))
        .min();
  }

  private long waitMillis(State state, long nowMillis) {
    fill(state, nowMillis);
    double missing = Math.max(0, 1 - state.tokens);
    return (long) Math.ceil(missing * 1_000 / ownPerSecond(state.upstream, nowMillis));
  }

  /** Returns the number of cold upstreams. */
  public int count(long nowMillis) {
    return (int) states.values().stream().filter(state -> isLimited(state, nowMillis)).count();
  }

  /** Returns the upstreams that became cold or ceased to be cold since the call before. */
  public ImmutableList<Change> changes(long nowMillis) {
    if (states.isEmpty()) {
      return ImmutableList.of();
    }
    ImmutableList.Builder<Change> changes = ImmutableList.builder();
    Iterator<State> remaining = states.values().iterator();
    while (remaining.hasNext()) {
      State state = remaining.next();
      boolean cold = isLimited(state, nowMillis);
      if (cold != state.reportedCold) {
        state.reportedCold = cold;
        double perSecond =
            Optional.ofNullable(limitsByService.get(state.upstream.service()))
                .map(ColdLimit::perSecond)
                .orElse(0.0);
        changes.add(
            new Change(
                state.upstream,
                cold,
                perSecond,
                cold ? ownPerSecond(state.upstream, nowMillis) : 0));
      }
      if (!state.isCold(nowMillis)) {
        remaining.remove();
      }
    }
    return changes.build();
  }

  private Optional<State> limitedState(UpstreamEntry upstream, long nowMillis) {
    return states.isEmpty()
        ? Optional.empty()
        : Optional.ofNullable(states.get(upstream.instanceKey()))
            .filter(state -> isLimited(state, nowMillis));
  }

  private boolean isLimited(State state, long nowMillis) {
    return state.isCold(nowMillis) && limitsByService.containsKey(state.upstream.service());
  }

  private double ownPerSecond(UpstreamEntry upstream, long nowMillis) {
    ColdLimit limit = limitsByService.get(upstream.service());
    return limit.perSecond() * shares.evenShare(upstream, limit.maxSenders(), nowMillis);
  }

  private void fill(State state, long nowMillis) {
    ColdLimit limit = limitsByService.get(state.upstream.service());
    double share = shares.evenShare(state.upstream, limit.maxSenders(), nowMillis);
    double ratePerSecond = limit.perSecond() * share;
    // The capacities of all senders add up to at most the number of senders that the limit allows.
    double burst = Math.min(ratePerSecond * BURST_MILLIS / 1_000, limit.maxSenders() * share);
    double capacity = ratePerSecond == 0 ? 0 : Math.max(1, burst);
    double added = ratePerSecond * (nowMillis - state.filledAtMillis) / 1_000;
    state.tokens = Math.min(capacity, state.tokens + added);
    state.filledAtMillis = nowMillis;
  }
}
