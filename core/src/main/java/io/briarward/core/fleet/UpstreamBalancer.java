package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Chooses the upstream with the shortest expected wait among those that accept requests.
 *
 * <p>The expected wait is the upstream's recent request duration times one plus this node's number
 * of requests in flight per slot, and is increased for an upstream in another data centre. An
 * upstream that fails or rejects a request is ejected for a time. If an upstream reports its load
 * with its slowness, {@link LoadView} predicts the completion instead, and {@link InFlightWindow}
 * takes the place of ejection. An upstream that names a limit gets this node's share of it, one
 * that is cold its share of a lower rate, one in an evacuated data centre nothing. Not thread-safe.
 */
public final class UpstreamBalancer {
  private final Map<String, UpstreamEntry> entries = new LinkedHashMap<>();
  private final LoadView view = new LoadView();
  private final UpstreamEjections ejections = new UpstreamEjections();
  private final UpstreamPacing pacing;
  private final UpstreamChoice choice;
  private final PacedBacklog backlog;
  private final LeavingUpstreams leavingUpstreams = new LeavingUpstreams();
  private final ServiceContacts contacts = new ServiceContacts();
  private final RequestLimits limits;
  private final RequestMeter arrivals = new RequestMeter();
  private ToDoubleFunction<UpstreamEntry> batchNeed = upstream -> 0;

  private UpstreamBalancer(String localDataCentre, LimitShares shares, RandomGenerator random) {
    this.pacing = new UpstreamPacing(view, random);
    this.backlog = new PacedBacklog(pacing, this::service);
    this.choice = new UpstreamChoice(localDataCentre, view, pacing, random);
    this.limits = new RequestLimits(checkNotNull(shares, "shares"));
  }

  /**
   * Creates a balancer without upstreams for a node in the given data centre.
   *
   * @param shares the node's shares of the limits that upstreams name
   */
  public static UpstreamBalancer create(String localDataCentre, LimitShares shares) {
    return create(localDataCentre, shares, new SplittableRandom());
  }

  /**
   * Creates a balancer without upstreams for a node in the given data centre.
   *
   * @param shares the node's shares of the limits that upstreams name
   * @param random selects among upstreams of which the node knows too little to compare them
   */
  public static UpstreamBalancer create(
      String localDataCentre, LimitShares shares, RandomGenerator random) {
    return new UpstreamBalancer(localDataCentre, shares, random);
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
      discardHistory(entry.id());
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

  /**
   * Handles the load in an upstream's response, which is empty if the response reports none.
   *
   * @param upstream the entry to which the request was sent
   */
  public void onLoad(UpstreamEntry upstream, Optional<UpstreamLoad> load, long nowMillis) {
    boolean current =
        entry(upstream.id())
            .filter(entry -> entry.startedAtMillis() == upstream.startedAtMillis())
            .isPresent();
    if (current) {
      load.ifPresentOrElse(
          reported -> pacing.onReport(upstream, reported, nowMillis),
          () -> pacing.onNoReport(upstream));
    }
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
    discardHistory(id);
  }

  private void discardHistory(String id) {
    view.remove(id);
    ejections.remove(id);
    pacing.remove(id);
  }

  /** Returns the upstream with the given id, or empty if it is not registered. */
  public Optional<UpstreamEntry> entry(String id) {
    return Optional.ofNullable(entries.get(id));
  }

  /** Returns all upstreams, including draining ones. */
  public ImmutableCollection<UpstreamEntry> entries() {
    return ImmutableList.copyOf(entries.values());
  }

  /** Returns what this node knows of the load of upstreams, and how it paces its requests. */
  public UpstreamPacing pacing() {
    return pacing;
  }

  /** Returns the number of requests that this node has in flight at an upstream. */
  public int inFlight(String id) {
    return view.inFlight(id);
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
    return choice.choose(
        available(service, excluded, allowed, nowMillis), service(service), nowMillis);
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
        .filter(entry -> pacing.inForce(entry) || ejections.permits(entry.id(), nowMillis))
        .filter(allowed)
        .filter(entry -> admits(entry, false, nowMillis))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Chooses an upstream of a service, including ejected ones; windows and limits apply.
   *
   * @param excluded the ids that must not be chosen
   * @param allowed a further condition on the upstream
   */
  public Optional<UpstreamEntry> chooseIgnoringEjection(
      String service,
      ImmutableSet<String> excluded,
      Predicate<UpstreamEntry> allowed,
      long nowMillis) {
    return choice.choose(
        notDraining(service, excluded)
            .filter(allowed)
            .filter(entry -> admits(entry, true, nowMillis))
            .collect(ImmutableList.toImmutableList()),
        service(service),
        nowMillis);
  }

  /** Returns the requests of this node that wait for a paced upstream. */
  public PacedBacklog backlog() {
    return backlog;
  }

  private ImmutableList<UpstreamEntry> service(String service) {
    return notDraining(service).collect(ImmutableList.toImmutableList());
  }

  /** Returns whether the window and the limit of an upstream permit a request now. */
  private boolean admits(UpstreamEntry entry, boolean ignoringProbePause, long nowMillis) {
    return (!pacing.inForce(entry) || pacing.permits(entry, ignoringProbePause, nowMillis))
        && limits.permits(entry, nowMillis);
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

  /** Handles a request that was sent to an upstream and is now in flight. */
  public void onSent(String id) {
    view.onSent(id);
    ejections.onSent(id);
    pacing.onSent(id);
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
    ejections.onAccepted(id);
    entry(id).ifPresent(pacing::onAccepted);
  }

  /** Handles the end of a request that the upstream answered. */
  public void onAnswered(String id, long durationMillis) {
    entry(id)
        .ifPresent(
            entry -> {
              view.onNormalDuration(entry, durationMillis);
              pacing.onAnswered(entry, durationMillis);
            });
    view.onDuration(id, durationMillis);
    onCompleted(id);
  }

  /** Handles the end of a request whose duration is not used, since requests differ in size. */
  public void onCompleted(String id) {
    pacing.onHeard(id);
    view.onEnded(id);
    ejections.onCompleted(id);
  }

  /** Handles the end of a request for a reason unrelated to the upstream's health. */
  public void onReleased(String id) {
    pacing.onReleased(id);
    view.onEnded(id);
    ejections.onReleased(id);
  }

  /** Handles the end of a request that the upstream rejected without running it. */
  public void onRejected(String id, long nowMillis, long ejectionMillis) {
    entry(id).ifPresent(entry -> pacing.onRejected(entry, nowMillis));
    view.onEnded(id);
    ejections.onRejected(id, nowMillis, ejectionMillis);
  }

  /** Handles the end of a request that the upstream interrupted or did not answer. */
  public void onFailed(String id, long nowMillis) {
    entry(id).ifPresent(entry -> pacing.onSilent(entry, nowMillis));
    view.onEnded(id);
    ejections.onFailed(id, nowMillis);
  }

  /** Handles the end of a request that the upstream answered with an error of its own. */
  public void onErrorResponse(String id, long nowMillis) {
    if (entry(id).filter(pacing::inForce).isPresent()) {
      pacing.onHeard(id);
      onReleased(id);
    } else {
      onFailed(id, nowMillis);
    }
  }
}
