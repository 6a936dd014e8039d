package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * Chooses the upstream with the shortest expected wait among those that accept requests.
 *
 * <p>The expected wait is the upstream's recent request duration times one plus this node's number
 * of requests in flight per slot, and is increased for an upstream in another data centre. An
 * upstream that fails is ejected for a time that doubles with each consecutive failure. An upstream
 * that rejects a request is ejected for a given time, then receives a single probe request, and
 * more requests once it accepts that one. An upstream that names a limit gets this node's share of
 * it, one that is cold its share of a lower rate, one in an evacuated data centre nothing. Not
 * thread-safe.
 */
public final class UpstreamBalancer {
  /** The ejection time after the first failure; about the restart time of a crashed process. */
  private static final long FIRST_EJECTION_MILLIS = 500;

  /**
   * The maximum ejection time after consecutive failures; on the order of an upstream's longest
   * outage.
   */
  private static final long MAX_EJECTION_MILLIS = 4_000;

  /** The weight of the newest duration in the moving average. */
  private static final double DURATION_WEIGHT = 0.2;

  /** The factor on the expected wait of an upstream in another data centre. */
  private static final double REMOTE_FACTOR = 1.15;

  /** The assumed request duration of an upstream that has not answered yet. */
  private static final double UNKNOWN_DURATION_MILLIS = 20;

  private final String localDataCentre;
  private final Map<String, UpstreamEntry> entries = new LinkedHashMap<>();
  private final Map<String, UpstreamState> states = new HashMap<>();
  private final LeavingUpstreams leavingUpstreams = new LeavingUpstreams();
  private final ServiceContacts contacts = new ServiceContacts();
  private final RequestLimits limits;
  private final RequestMeter arrivals = new RequestMeter();
  private ToDoubleFunction<UpstreamEntry> batchNeed = upstream -> 0;

  private UpstreamBalancer(String localDataCentre, LimitShares shares) {
    this.localDataCentre = checkNotNull(localDataCentre, "localDataCentre");
    this.limits = new RequestLimits(checkNotNull(shares, "shares"));
  }

  /**
   * Creates a balancer without upstreams for a node in the given data centre.
   *
   * @param shares the node's shares of the limits that upstreams name
   */
  public static UpstreamBalancer create(String localDataCentre, LimitShares shares) {
    return new UpstreamBalancer(localDataCentre, shares);
  }

  /**
   * Adds or replaces an upstream; the history of an upstream that was restarted is discarded.
   *
   * @return the entry in use, which is leaving if the upstream announced so
   */
  @CanIgnoreReturnValue
  public UpstreamEntry put(UpstreamEntry registered) {
    UpstreamEntry entry = leavingUpstreams.apply(registered);
    UpstreamEntry before = entries.put(entry.id(), entry);
    if (before != null && before.startedAtMillis() != entry.startedAtMillis()) {
      states.remove(entry.id());
    }
    return entry;
  }

  /**
   * Handles a response in which an upstream announced that it leaves.
   *
   * <p>It gets no further requests from this node, whatever its registration says. Requests in
   * flight are not affected.
   *
   * @param upstream the entry to which the request was sent
   * @return whether this is the first such response of the upstream
   */
  @CanIgnoreReturnValue
  public boolean onLeaving(UpstreamEntry upstream) {
    boolean first = leavingUpstreams.add(upstream);
    entries.computeIfPresent(upstream.id(), (id, entry) -> leavingUpstreams.apply(entry));
    return first;
  }

  /**
   * Handles the limit in an upstream's response, which is empty if the response names none.
   *
   * @param upstream the entry to which the request was sent
   * @return whether the limit differs from that of the upstream's response before
   */
  @CanIgnoreReturnValue
  public boolean onLimit(UpstreamEntry upstream, OptionalDouble limitPerSecond, long nowMillis) {
    return limits.onNotice(upstream, limitPerSecond, nowMillis);
  }

  /** Returns the number of requests sent to an upstream since it first named a limit. */
  public int sentWithinLimit(UpstreamEntry upstream) {
    return limits.sent(upstream);
  }

  /** Returns the upstreams that are cold after a start. */
  public ColdUpstreams cold() {
    return limits.cold();
  }

  /** Returns the data centres whose upstreams get no requests. */
  public EvacuatedDataCentres evacuated() {
    return limits.evacuated();
  }

  /** Handles the arrival of a request that an upstream of a service is to run. */
  public void onArrival(String service, long nowMillis) {
    arrivals.onRequest(service, nowMillis);
  }

  /**
   * Sets the function that returns how many requests per second the batches of this node need of an
   * upstream.
   */
  public void setBatchNeed(ToDoubleFunction<UpstreamEntry> neededPerSecond) {
    batchNeed = checkNotNull(neededPerSecond, "neededPerSecond");
  }

  /** Returns what this node tells the others about limited upstreams. */
  public NodeDemand demand(long nowMillis) {
    ImmutableMap<String, Double> named = limits.named(nowMillis);
    ImmutableMap<String, Double> needed =
        entries.values().stream()
            .filter(entry -> limits.limitPerSecond(entry, nowMillis).isPresent())
            .collect(
                ImmutableMap.toImmutableMap(
                    UpstreamEntry::instanceKey, entry -> neededPerSecond(entry, nowMillis)));
    return new NodeDemand(needed, named);
  }

  private double neededPerSecond(UpstreamEntry entry, long nowMillis) {
    return batchNeed.applyAsDouble(entry) + arrivals.perSecond(entry.service(), nowMillis);
  }

  /** Returns whether an upstream of a service has a limit. */
  public boolean hasLimited(String service, long nowMillis) {
    return notDraining(service, ImmutableSet.of())
        .anyMatch(entry -> limits.acceptedPerSecond(entry, nowMillis).isPresent());
  }

  /**
   * Returns the time, in milliseconds, after which a rejected request for a service may be
   * accepted; empty if no limit of the upstreams tells it.
   */
  public OptionalLong retryAfterMillis(String service, long nowMillis) {
    return limits.retryAfterMillis(notDraining(service).toList(), nowMillis);
  }

  /** Removes an upstream. */
  public void remove(String id) {
    entry(id).ifPresent(entry -> contacts.onRemoved(entry.service(), id));
    entries.remove(id);
    states.remove(id);
  }

  /** Returns the upstream with the given id, or empty if it is not registered. */
  public Optional<UpstreamEntry> entry(String id) {
    return Optional.ofNullable(entries.get(id));
  }

  /** Returns all upstreams, including draining ones. */
  public ImmutableCollection<UpstreamEntry> entries() {
    return ImmutableList.copyOf(entries.values());
  }

  /** Returns the number of requests that this node has in flight at an upstream. */
  public int inFlight(String id) {
    UpstreamState state = states.get(id);
    return state == null ? 0 : state.inFlight;
  }

  /**
   * Chooses an upstream of a service.
   *
   * @param excluded the ids that must not be chosen
   * @param allowed a further condition on the upstream
   * @return the upstream, or empty if none accepts a request now
   */
  public Optional<UpstreamEntry> choose(
      String service,
      ImmutableSet<String> excluded,
      Predicate<UpstreamEntry> allowed,
      long nowMillis) {
    return shortestWait(available(service, excluded, allowed, nowMillis));
  }

  /**
   * Returns the upstreams of a service that accept a request now.
   *
   * @param excluded the ids that must not be chosen
   * @param allowed a further condition on the upstream
   */
  public ImmutableList<UpstreamEntry> available(
      String service,
      ImmutableSet<String> excluded,
      Predicate<UpstreamEntry> allowed,
      long nowMillis) {
    return notDraining(service, excluded)
        .filter(entry -> !isEjected(entry.id(), nowMillis) && !hasProbeInFlight(entry.id()))
        .filter(allowed)
        .filter(entry -> limits.permits(entry, nowMillis))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Chooses an upstream of a service, including ejected ones.
   *
   * @param excluded the ids that must not be chosen
   * @param allowed a further condition on the upstream
   */
  public Optional<UpstreamEntry> chooseIgnoringEjection(
      String service,
      ImmutableSet<String> excluded,
      Predicate<UpstreamEntry> allowed,
      long nowMillis) {
    return shortestWait(
        notDraining(service, excluded)
            .filter(allowed)
            .filter(entry -> limits.permits(entry, nowMillis))
            .collect(ImmutableList.toImmutableList()));
  }

  /** Returns the upstreams of a service that are neither draining nor evacuated. */
  public Stream<UpstreamEntry> notDraining(String service) {
    return entries.values().stream()
        .filter(entry -> !entry.leaving() && !limits.evacuated().contains(entry))
        .filter(entry -> entry.service().equals(service));
  }

  private Stream<UpstreamEntry> notDraining(String service, ImmutableSet<String> excluded) {
    return notDraining(service).filter(entry -> !excluded.contains(entry.id()));
  }

  private Optional<UpstreamEntry> shortestWait(ImmutableList<UpstreamEntry> candidates) {
    return candidates.stream().min(Comparator.comparingDouble(this::expectedWaitMillis));
  }

  /** Handles a request that was sent to an upstream and is now in flight. */
  public void onSent(String id) {
    UpstreamState state = state(id);
    state.inFlight++;
    state.probeInFlight = state.rejected;
    entry(id).ifPresent(limits::onSent);
  }

  /** Handles an upstream that did not accept a connection or left a request without response. */
  public void onUnreachable(String id) {
    entry(id).ifPresent(entry -> contacts.onUnreachable(entry.service(), id));
  }

  /** Handles a sign that an upstream of a service can be reached. */
  public void onContact(String service, long nowMillis) {
    contacts.onContact(service, nowMillis);
  }

  /** Returns whether an upstream of a service gave a sign at or after the given time. */
  public boolean hadContactSince(String service, long sinceMillis) {
    return contacts.hadContactSince(service, sinceMillis);
  }

  /**
   * Returns whether this node is cut off from a service: several of its upstreams, or all if they
   * are fewer, did not answer since the last contact to one of them.
   */
  public boolean isCutOff(String service) {
    return contacts.isCutOff(service, () -> notDraining(service).count());
  }

  /** Returns the services of which an upstream did not answer since the last contact to one. */
  public ImmutableSet<String> suspectedServices() {
    return contacts.suspected();
  }

  /** Returns the services from which this node is cut off. */
  public ImmutableSet<String> cutOffServices() {
    return contacts.suspected().stream()
        .filter(this::isCutOff)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Handles a request that an upstream accepted and started to run. */
  public void onAccepted(String id) {
    state(id).rejected = false;
  }

  /** Handles the end of a request that the upstream answered. */
  public void onAnswered(String id, long durationMillis) {
    onCompleted(id);
    UpstreamState state = state(id);
    state.durationMillis =
        state.durationMillis == 0
            ? durationMillis
            : state.durationMillis * (1 - DURATION_WEIGHT) + durationMillis * DURATION_WEIGHT;
  }

  /** Handles the end of a request whose duration is not used, since requests differ in size. */
  public void onCompleted(String id) {
    UpstreamState state = state(id);
    state.removeInFlight();
    state.failures = 0;
    state.rejected = false;
    state.ejectedUntilMillis = Long.MIN_VALUE;
  }

  /** Handles the end of a request for a reason unrelated to the upstream's health. */
  public void onReleased(String id) {
    UpstreamState state = state(id);
    state.removeInFlight();
    state.probeInFlight = false;
  }

  /** Handles the end of a request that the upstream rejected without running it. */
  public void onRejected(String id, long nowMillis, long ejectionMillis) {
    UpstreamState state = state(id);
    state.removeInFlight();
    state.rejected = true;
    state.probeInFlight = false;
    state.ejectedUntilMillis = Math.max(state.ejectedUntilMillis, nowMillis + ejectionMillis);
  }

  /** Handles the end of a request that the upstream interrupted or did not answer. */
  public void onFailed(String id, long nowMillis) {
    UpstreamState state = state(id);
    state.removeInFlight();
    long ejectionMillis =
        Math.min(MAX_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << Math.min(state.failures, 10));
    state.failures++;
    state.rejected = false;
    state.ejectedUntilMillis = nowMillis + ejectionMillis;
  }

  /** Returns whether an upstream that rejected a request has a probe request in flight. */
  private boolean hasProbeInFlight(String id) {
    UpstreamState state = states.get(id);
    return state != null && state.rejected && state.probeInFlight;
  }

  /** Returns whether an upstream is currently ejected. */
  public boolean isEjected(String id, long nowMillis) {
    UpstreamState state = states.get(id);
    return state != null && nowMillis < state.ejectedUntilMillis;
  }

  private double expectedWaitMillis(UpstreamEntry entry) {
    UpstreamState state = states.get(entry.id());
    double durationMillis =
        state == null || state.durationMillis == 0 ? UNKNOWN_DURATION_MILLIS : state.durationMillis;
    int inFlight = state == null ? 0 : state.inFlight;
    double factor = entry.dataCentre().equals(localDataCentre) ? 1 : REMOTE_FACTOR;
    return (1 + (double) inFlight / entry.slots()) * durationMillis * factor;
  }

  private UpstreamState state(String id) {
    return states.computeIfAbsent(id, unused -> new UpstreamState());
  }

  private static final class UpstreamState {
    int inFlight;
    int failures;
    boolean rejected;
    boolean probeInFlight;
    long ejectedUntilMillis = Long.MIN_VALUE;
    double durationMillis;

    void removeInFlight() {
      inFlight = Math.max(0, inFlight - 1);
    }
  }
}
