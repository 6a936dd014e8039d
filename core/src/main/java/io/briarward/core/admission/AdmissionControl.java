package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.briarward.core.admission.AdmissionDecisions.RejectedRequest;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Admits, queues or rejects the requests of a node.
 *
 * <p>A request starts at once when its service has a free slot, its organisation is within its
 * share of the limits and no other request could start in that slot. Otherwise it is queued, or
 * rejected if its deadline cannot be met. Queued requests are served earliest deadline first within
 * an organisation, and organisations are served by weighted fair queueing. A queued request is
 * rejected as soon as it can no longer be answered by its deadline.
 *
 * <p>An organisation is charged for service when its request is admitted. When the request fails or
 * completes after its deadline, half the charge is refunded: a full refund would let an
 * organisation whose deadlines cannot be met use capacity without being charged for it.
 *
 * <p>Thread-safe: one lock guards short sections that do no I/O. Call {@link #poll} after {@link
 * #onFinished}, after changes of shares and capacities, and at {@link #nextDeadlineMillis}. All
 * times are in milliseconds of one clock that the caller reads.
 */
public final class AdmissionControl {
  /** The maximum number of requests of one service that wait on a node. */
  static final int MAX_WAITING = 1_024;

  private static final double REFUND_FRACTION = 0.5;
  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

  @GuardedBy("this")
  private final Map<String, OrganisationState> organisations = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, ServiceQueue> services = new HashMap<>();

  @GuardedBy("this")
  private final Map<Long, Running> running = new HashMap<>();

  @GuardedBy("this")
  private final Map<Long, WaitingRequest> waiting = new HashMap<>();

  @GuardedBy("this")
  private final List<RejectedRequest> evicted = new ArrayList<>();

  @GuardedBy("this")
  private long lastQueueSequence;

  private AdmissionControl() {}

  /** The outcome of an admitted request. */
  public enum Outcome {
    /** The request was answered completely by its deadline. */
    IN_TIME,
    /** The request was answered completely after its deadline. */
    LATE,
    /** The request was not answered completely. */
    FAILED
  }

  /** Creates an admission control without organisations. */
  public static AdmissionControl create() {
    return new AdmissionControl();
  }

  /**
   * Replaces the organisations; those that stay keep their shares and counts.
   *
   * @param initialFraction the fraction of its limits that a new organisation may use until its
   *     share is set, from 0 to 1
   * @throws IllegalArgumentException if {@code initialFraction} is out of range
   */
  public synchronized void replaceOrganisations(
      ImmutableList<Organisation> next, double initialFraction, long nowMillis) {
    checkNotNull(next, "next");
    checkArgument(
        initialFraction >= 0 && initialFraction <= 1,
        "initialFraction is %s, expected 0 to 1",
        initialFraction);
    Map<String, OrganisationState> kept = new HashMap<>();
    for (Organisation organisation : next) {
      OrganisationState state = organisations.get(organisation.id());
      if (state == null) {
        Share limit = new Share(organisation.requestsPerSecond(), organisation.maxConcurrent());
        Share share = limit.times(initialFraction);
        state = new OrganisationState(organisation.id(), organisation.weight(), share, nowMillis);
      }
      state.setWeight(organisation.weight());
      kept.put(organisation.id(), state);
    }
    organisations.clear();
    organisations.putAll(kept);
  }

  /**
   * Sets the share of its limits that an organisation may use on this node; an unknown organisation
   * is ignored.
   */
  public synchronized void setShare(String organisation, Share share, long nowMillis) {
    checkNotNull(share, "share");
    OrganisationState state = organisations.get(organisation);
    if (state != null) {
      state.setShare(share, nowMillis);
    }
  }

  /** Sets the number of requests of a service that this node may run concurrently. */
  public synchronized void setCapacity(String service, double capacity) {
    checkArgument(capacity >= 0, "capacity is %s, expected >= 0", capacity);
    service(service).setCapacity(capacity);
  }

  /** Returns the use of its limits by each organisation that is active on this node. */
  public synchronized ImmutableMap<String, LimitUse> limitUses(long nowMillis) {
    ImmutableMap.Builder<String, LimitUse> uses = ImmutableMap.builder();
    for (OrganisationState state : organisations.values()) {
      if (!state.isIdle(nowMillis)) {
        uses.put(state.id(), state.limitUse(nowMillis));
      }
    }
    return uses.buildOrThrow();
  }

  /** Returns the number of requests of a service that run or wait on this node. */
  public synchronized int outstanding(String service) {
    ServiceQueue queue = service(service);
    return queue.running() + queue.waiting();
  }

  /** Returns the number of requests of a service that run on this node. */
  public synchronized int running(String service) {
    return service(service).running();
  }

  /**
   * Admits, queues or rejects a new request.
   *
   * @throws IllegalArgumentException if a request with the same id is running or waiting
   */
  public synchronized AdmissionResult offer(AdmissionRequest request, long nowMillis) {
    checkNotNull(request, "request");
    checkArgument(
        !running.containsKey(request.id()) && !waiting.containsKey(request.id()),
        "id is %s, expected one that no running or waiting request has",
        request.id());
    OrganisationState organisation = organisations.get(request.organisation());
    if (organisation == null) {
      return reject(ErrorKind.NOT_READY, "the organisation is not known here yet", 1_000);
    }
    organisation.onArrival(nowMillis);
    if (request.dueAtMillis() <= nowMillis) {
      return reject(ErrorKind.DEADLINE_EXCEEDED, "the due time has passed", 0);
    }
    ServiceQueue service = service(request.service());
    boolean hasFreeSlot =
        service.hasCapacity(request.priority()) && service.next(nowMillis).isEmpty();
    if (hasFreeSlot && organisation.canStart(nowMillis)) {
      start(service, organisation, request, nowMillis);
      return new AdmissionResult.Admitted();
    }
    return enqueue(service, organisation, request, nowMillis);
  }

  @GuardedBy("this")
  private AdmissionResult enqueue(
      ServiceQueue service,
      OrganisationState organisation,
      AdmissionRequest request,
      long nowMillis) {
    ClassQueue classQueue = service.classQueue(request.priority());
    int ahead = classQueue.queueOf(organisation).countDueBefore(request.dueAtMillis());
    // While the share may still grow to meet new demand, the wait due to its rate is ignored.
    boolean shareSettling = organisation.isShareSettling(nowMillis);
    long rateWaitMillis = shareSettling ? 0 : organisation.rateWaitMillis(ahead, nowMillis);
    long slotWaitMillis = slotWaitMillis(service, organisation, request.priority(), ahead);
    long waitMillis = Math.max(rateWaitMillis, slotWaitMillis);
    double answeredAtMillis = nowMillis + waitMillis + classQueue.serviceTime().upperBoundMillis();
    if (answeredAtMillis > request.dueAtMillis()) {
      boolean overLimit = rateWaitMillis >= slotWaitMillis && rateWaitMillis > 0;
      return overLimit ? rejectOverLimit(waitMillis) : rejectOverloaded(waitMillis);
    }
    lastQueueSequence++;
    WaitingRequest entry = new WaitingRequest(request, lastQueueSequence);
    service.add(organisation, entry);
    waiting.put(request.id(), entry);
    return service.waiting() <= MAX_WAITING
        ? new AdmissionResult.Queued()
        : evictFromLongestBacklog(service, request, waitMillis);
  }

  /** Estimates the wait for a slot behind {@code ahead} other requests of the organisation. */
  private static long slotWaitMillis(
      ServiceQueue service, OrganisationState organisation, Priority priority, int ahead) {
    ClassQueue classQueue = service.classQueue(priority);
    double contendingWeight = classQueue.waitingWeight();
    if (classQueue.queueOf(organisation).isEmpty()) {
      contendingWeight += organisation.weight();
    }
    double fairPerMilli =
        service.throughputPerMilli(priority) * organisation.weight() / contendingWeight;
    return (long) Math.min((ahead + 1) / fairPerMilli, MAX_RETRY_AFTER_MILLIS);
  }

  /**
   * Rejects the request with the latest deadline of the organisation with the longest backlog
   * relative to its weight, in the class with the most waiting requests.
   */
  @GuardedBy("this")
  private AdmissionResult evictFromLongestBacklog(
      ServiceQueue service, AdmissionRequest offered, long waitMillis) {
    ClassQueue longestClass = service.classQueue(offered.priority());
    for (ClassQueue each : service.classes()) {
      longestClass = each.size() > longestClass.size() ? each : longestClass;
    }
    OrganisationQueue longestQueue = longestClass.longestBacklog().orElseThrow();
    WaitingRequest evictee = longestQueue.last();
    longestClass.remove(longestQueue, evictee);
    waiting.remove(evictee.request().id());
    AdmissionResult.Rejected rejection = rejectOverloaded(waitMillis);
    if (evictee.request().id() == offered.id()) {
      return rejection;
    }
    evicted.add(new RejectedRequest(evictee.request().id(), rejection.failure()));
    return new AdmissionResult.Queued();
  }

  /** Admits waiting requests that can start and rejects those that cannot meet their deadlines. */
  public synchronized AdmissionDecisions poll(long nowMillis) {
    ImmutableList.Builder<Long> admitted = ImmutableList.builder();
    ImmutableList.Builder<RejectedRequest> rejected = ImmutableList.builder();
    rejected.addAll(evicted);
    evicted.clear();
    for (ServiceQueue service : services.values()) {
      if (service.waiting() > 0) {
        rejectUnanswerable(service, rejected, nowMillis);
        startWaiting(service, admitted, nowMillis);
      }
    }
    return new AdmissionDecisions(admitted.build(), rejected.build());
  }

  @GuardedBy("this")
  private void rejectUnanswerable(
      ServiceQueue service, ImmutableList.Builder<RejectedRequest> rejected, long nowMillis) {
    for (ClassQueue classQueue : service.classes()) {
      long answeredAtMillis = nowMillis + (long) classQueue.serviceTime().upperBoundMillis();
      for (OrganisationQueue queue : classQueue.queues()) {
        while (!queue.isEmpty() && queue.first().request().dueAtMillis() < answeredAtMillis) {
          WaitingRequest unanswerable = queue.first();
          classQueue.remove(queue, unanswerable);
          waiting.remove(unanswerable.request().id());
          Failure failure = unanswerableFailure(classQueue, queue.organisation(), nowMillis);
          rejected.add(new RejectedRequest(unanswerable.request().id(), failure));
        }
      }
      classQueue.removeIdle();
    }
  }

  /**
   * Returns the failure of a request that would miss its deadline; the cause is the limit if the
   * organisation may not start a request now, otherwise overload.
   */
  private static Failure unanswerableFailure(
      ClassQueue classQueue, OrganisationState organisation, long nowMillis) {
    long meanMillis = (long) classQueue.serviceTime().meanMillis();
    if (organisation.canStart(nowMillis)) {
      return rejectOverloaded(meanMillis).failure();
    }
    long rateWaitMillis = organisation.rateWaitMillis(0, nowMillis);
    return rejectOverLimit(Math.max(meanMillis, rateWaitMillis)).failure();
  }

  @GuardedBy("this")
  private void startWaiting(
      ServiceQueue service, ImmutableList.Builder<Long> admitted, long nowMillis) {
    while (service.next(nowMillis).isPresent()) {
      Priority priority = service.next(nowMillis).orElseThrow();
      ClassQueue classQueue = service.classQueue(priority);
      OrganisationQueue queue = classQueue.next(nowMillis).orElseThrow();
      WaitingRequest next = queue.first();
      start(service, queue.organisation(), next.request(), nowMillis);
      classQueue.remove(queue, next);
      waiting.remove(next.request().id());
      admitted.add(next.request().id());
    }
  }

  @GuardedBy("this")
  private void start(
      ServiceQueue service,
      OrganisationState organisation,
      AdmissionRequest request,
      long nowMillis) {
    organisation.onStarted(nowMillis);
    service.onStarted(organisation, request);
    running.put(request.id(), new Running(service, organisation, request, nowMillis));
  }

  /** Records the end of an admitted request; an id that is not running is ignored. */
  public synchronized void onFinished(long id, Outcome outcome, long nowMillis) {
    checkNotNull(outcome, "outcome");
    Running ended = running.remove(id);
    if (ended == null) {
      return;
    }
    ended.organisation.onEnded();
    Priority priority = ended.request.priority();
    ended.service.onEnded(priority);
    ClassQueue classQueue = ended.service.classQueue(priority);
    if (outcome != Outcome.FAILED) {
      classQueue.serviceTime().record((double) (nowMillis - ended.startedAtMillis));
    }
    if (outcome != Outcome.IN_TIME) {
      classQueue.refund(ended.organisation, REFUND_FRACTION * ended.request.weight());
    }
  }

  /** Removes a waiting request that was cancelled; an id that is not waiting is ignored. */
  public synchronized void onCancelled(long id) {
    WaitingRequest entry = waiting.remove(id);
    if (entry == null) {
      return;
    }
    ClassQueue classQueue =
        service(entry.request().service()).classQueue(entry.request().priority());
    for (OrganisationQueue queue : classQueue.queues()) {
      classQueue.remove(queue, entry);
    }
  }

  /**
   * Returns the time by which {@link #poll} must be called next to start or reject a waiting
   * request or to report an evicted one, or empty if there is none.
   */
  public synchronized OptionalLong nextDeadlineMillis(long nowMillis) {
    long next = evicted.isEmpty() ? Long.MAX_VALUE : nowMillis;
    for (ServiceQueue service : services.values()) {
      for (Priority priority : Priority.values()) {
        boolean hasCapacity = service.hasCapacity(priority);
        ClassQueue classQueue = service.classQueue(priority);
        double upperBoundMillis = classQueue.serviceTime().upperBoundMillis();
        for (OrganisationQueue queue : classQueue.queues()) {
          if (!queue.isEmpty()) {
            long marginMillis = (long) upperBoundMillis;
            long rejectAtMillis = queue.first().request().dueAtMillis() - marginMillis + 1;
            next = Math.min(next, rejectAtMillis);
            long tokenAtMillis = nowMillis + queue.organisation().rateWaitMillis(0, nowMillis);
            next = hasCapacity && tokenAtMillis > nowMillis ? Math.min(next, tokenAtMillis) : next;
          }
        }
      }
    }
    return next == Long.MAX_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(next, nowMillis));
  }

  private static AdmissionResult.Rejected rejectOverLimit(long waitMillis) {
    return reject(ErrorKind.LIMIT_EXCEEDED, "the organisation is over its limit", waitMillis);
  }

  private static AdmissionResult.Rejected rejectOverloaded(long waitMillis) {
    return reject(ErrorKind.OVERLOADED, "the due time cannot be met", waitMillis);
  }

  private static AdmissionResult.Rejected reject(ErrorKind kind, String detail, long waitMillis) {
    long retryAfterMillis =
        Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(waitMillis, MAX_RETRY_AFTER_MILLIS));
    return new AdmissionResult.Rejected(Failure.notRun(kind, detail, retryAfterMillis));
  }

  @GuardedBy("this")
  private ServiceQueue service(String id) {
    return services.computeIfAbsent(id, key -> new ServiceQueue());
  }

  private record Running(
      ServiceQueue service,
      OrganisationState organisation,
      AdmissionRequest request,
      long startedAtMillis) {}
}
