package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Chooses the upstream with the shortest expected wait among those that take work.
 *
 * <p>A wait is the work in flight from this node for each slot, times the upstream's recent time
 * for a request. An upstream that fails gets no work for a while that doubles with each failure in
 * a row. One that refused gets a single request after a pause, and more once that is taken. Not
 * thread-safe.
 */
public final class UpstreamBalancer {
  /** The first pause after a failure; about the time in which a crashed process restarts. */
  private static final long FIRST_PAUSE_MILLIS = 500;

  /** The longest pause after failures in a row, the order of an upstream's longest outage. */
  private static final long MAX_PAUSE_MILLIS = 4_000;

  /** The weight of the newest duration in the moving average. */
  private static final double DURATION_WEIGHT = 0.2;

  /** The factor by which an upstream in another data centre counts as slower. */
  private static final double REMOTE_FACTOR = 1.15;

  /** The expected duration, in milliseconds, of an upstream that has not answered yet. */
  private static final double UNKNOWN_DURATION_MILLIS = 20;

  private final String localDataCentre;
  private final Map<String, UpstreamEntry> entries = new LinkedHashMap<>();
  private final Map<String, State> states = new HashMap<>();

  private UpstreamBalancer(String localDataCentre) {
    this.localDataCentre = checkNotNull(localDataCentre, "localDataCentre");
  }

  /** Returns a balancer without upstreams, for a node in the data centre. */
  public static UpstreamBalancer create(String localDataCentre) {
    return new UpstreamBalancer(localDataCentre);
  }

  /** Adds or replaces an upstream; one that was started anew begins without a history. */
  public void put(UpstreamEntry entry) {
    UpstreamEntry before = entries.put(entry.id(), entry);
    if (before != null && before.bornMillis() != entry.bornMillis()) {
      states.remove(entry.id());
    }
  }

  /** Removes an upstream. */
  public void remove(String id) {
    entries.remove(id);
    states.remove(id);
  }

  /** Returns the upstream with the id. */
  public Optional<UpstreamEntry> entry(String id) {
    return Optional.ofNullable(entries.get(id));
  }

  /** Returns all upstreams, leaving ones included. */
  public ImmutableCollection<UpstreamEntry> entries() {
    return ImmutableList.copyOf(entries.values());
  }

  /** Returns how many requests this node has in flight at an upstream. */
  public int inFlight(String id) {
    State state = states.get(id);
    return state == null ? 0 : state.inFlight;
  }

  /**
   * Chooses an upstream of a service.
   *
   * @param excluded the ids that must not be chosen
   * @param allowed a further condition on the upstream
   * @return empty when no upstream may take the request now
   */
  public Optional<UpstreamEntry> choose(
      String service,
      ImmutableSet<String> excluded,
      Predicate<UpstreamEntry> allowed,
      long nowMillis) {
    return shortestWait(available(service, excluded, allowed, nowMillis));
  }

  /**
   * Returns the upstreams of a service that take a request now.
   *
   * @param excluded the ids that must not be chosen
   * @param allowed a further condition on the upstream
   */
  public ImmutableList<UpstreamEntry> available(
      String service,
      ImmutableSet<String> excluded,
      Predicate<UpstreamEntry> allowed,
      long nowMillis) {
    return staying(service, excluded)
        .filter(entry -> !paused(entry.id(), nowMillis) && !awaitsProbe(entry.id()))
        .filter(allowed)
        .collect(ImmutableList.toImmutableList());
  }

  /** Chooses an upstream of a service even if it failed just now. */
  public Optional<UpstreamEntry> chooseAny(String service, ImmutableSet<String> excluded) {
    return shortestWait(staying(service, excluded).collect(ImmutableList.toImmutableList()));
  }

  private Stream<UpstreamEntry> staying(String service, ImmutableSet<String> excluded) {
    return entries.values().stream()
        .filter(entry -> !entry.leaving() && entry.service().equals(service))
        .filter(entry -> !excluded.contains(entry.id()));
  }

  private Optional<UpstreamEntry> shortestWait(ImmutableList<UpstreamEntry> candidates) {
    return candidates.stream().min(Comparator.comparingDouble(this::expectedWaitMillis));
  }

  /** Counts a request as in flight. */
  public void onSent(String id) {
    State state = state(id);
    state.inFlight++;
    state.probeSent = state.refused;
  }

  /** Notes that an upstream began to work on a request. */
  public void onAccepted(String id) {
    state(id).refused = false;
  }

  /** Gives a request back that the upstream answered. */
  public void onAnswered(String id, long durationMillis) {
    onCompleted(id);
    State state = state(id);
    state.durationMillis =
        state.durationMillis == 0
            ? durationMillis
            : state.durationMillis * (1 - DURATION_WEIGHT) + durationMillis * DURATION_WEIGHT;
  }

  /** Gives a request back whose duration tells nothing, since requests differ in size. */
  public void onCompleted(String id) {
    State state = state(id);
    state.giveBack();
    state.failures = 0;
    state.refused = false;
    state.pausedUntilMillis = Long.MIN_VALUE;
  }

  /** Gives a request back that was ended for a reason that says nothing of the upstream. */
  public void onReleased(String id) {
    State state = state(id);
    state.giveBack();
    state.probeSent = false;
  }

  /** Gives a request back that the upstream refused without running it. */
  public void onRefused(String id, long nowMillis, long pauseMillis) {
    State state = state(id);
    state.giveBack();
    state.refused = true;
    state.probeSent = false;
    state.pausedUntilMillis = Math.max(state.pausedUntilMillis, nowMillis + pauseMillis);
  }

  /** Gives a request back that the upstream broke off or never answered. */
  public void onFailed(String id, long nowMillis) {
    State state = state(id);
    state.giveBack();
    long pauseMillis =
        Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(state.failures, 10));
    state.failures++;
    state.refused = false;
    state.pausedUntilMillis = nowMillis + pauseMillis;
  }

  /** Returns whether an upstream that refused has a request by which it shows if it takes more. */
  private boolean awaitsProbe(String id) {
    State state = states.get(id);
    return state != null && state.refused && state.probeSent;
  }

  /** Returns whether an upstream gets no work for now. */
  public boolean paused(String id, long nowMillis) {
    State state = states.get(id);
    return state != null && nowMillis < state.pausedUntilMillis;
  }

  private double expectedWaitMillis(UpstreamEntry entry) {
    State state = states.get(entry.id());
    double durationMillis =
        state == null || state.durationMillis == 0 ? UNKNOWN_DURATION_MILLIS : state.durationMillis;
    int inFlight = state == null ? 0 : state.inFlight;
    double factor = entry.dataCentre().equals(localDataCentre) ? 1 : REMOTE_FACTOR;
    return (1 + (double) inFlight / entry.slots()) * durationMillis * factor;
  }

  private State state(String id) {
    return states.computeIfAbsent(id, unused -> new State());
  }

  private static final class State {
    int inFlight;
    int failures;
    boolean refused;
    boolean probeSent;
    long pausedUntilMillis = Long.MIN_VALUE;
    double durationMillis;

    void giveBack() {
      inFlight = Math.max(0, inFlight - 1);
    }
  }
}
