package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.briarward.core.admission.AdmissionDecisions.RefusedRequest;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Admits, queues or refuses the requests of a node.
 *
 * <p>A request starts at once when its service has a free place, its organisation is within its
 * shares and nobody else waits for the place. Otherwise it waits, unless its due time cannot be
 * met, and is served in the order of due times within its organisation; organisations are served by
 * weighted fair queueing. A waiting request is refused as soon as it can no longer be answered in
 * its due time.
 *
 * <p>Service is charged when a request is admitted. When the answer fails or comes late, half the
 * charge is returned: a full refund would let an organisation whose due times cannot be met take
 * capacity without being charged for it.
 *
 * <p>Thread-safe: one lock guards short sections that do no I/O. Call {@link #poll} after {@link
 * #onFinished}, after changes of shares and capacities, and at {@link #nextDeadlineMillis}. Times
 * are milliseconds of one clock, given by the caller.
 */
public final class AdmissionControl {
  /** How many requests of one service may wait on a node. */
  static final int MAX_WAITING = 1_024;

  private static final double REFUND_SHARE = 0.5;
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
  private final List<RefusedRequest> evicted = new ArrayList<>();

  @GuardedBy("this")
  private long lastOrder;

  private AdmissionControl() {}

  /** How an admitted request ended. */
  public enum Outcome {
    /** The complete answer was given within the due time. */
    IN_TIME,
    /** The answer was complete but late. */
    LATE,
    /** No complete answer was given. */
    FAILED
  }

  /** Creates a control that knows no organisation. */
  public static AdmissionControl create() {
    return new AdmissionControl();
  }

  /**
   * Replaces the organisations.
   *
   * @param initialFraction the part of its limits that a new organisation may use until its share
   *     is set, from 0 to 1
   */
  public synchronized void replaceOrganisations(
      ImmutableList<Organisation> next, double initialFraction, long nowMillis) {
    checkNotNull(next, "next");
    checkArgument(
        initialFraction >= 0 && initialFraction <= 1, "initialFraction is %s", initialFraction);
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

  /** Sets the share of its limits that an organisation may use on this node. */
  public synchronized void setShare(String organisation, Share share, long nowMillis) {
    checkNotNull(share, "share");
    OrganisationState state = organisations.get(organisation);
    if (state != null) {
      state.setShare(share, nowMillis);
    }
  }

  /** Sets how many requests of a service this node may run at once. */
  public synchronized void setCapacity(String service, double capacity) {
    checkArgument(capacity >= 0, "capacity is %s, expected >= 0", capacity);
    service(service).setCapacity(capacity);
  }

  /** Returns what each organisation that has work here uses of its limits. */
  public synchronized ImmutableMap<String, LimitUse> limitUses(long nowMillis) {
    ImmutableMap.Builder<String, LimitUse> uses = ImmutableMap.builder();
    for (OrganisationState state : organisations.values()) {
      if (!state.idle(nowMillis)) {
        uses.put(state.id(), state.use(nowMillis));
      }
    }
    return uses.buildOrThrow();
  }

  /** Returns how many requests of a service run and wait here. */
  public synchronized int outstanding(String service) {
    ServiceQueue queue = service(service);
    return queue.running() + queue.waiting();
  }

  /** Returns how many requests of a service run here. */
  public synchronized int running(String service) {
    return service(service).running();
  }

  /**
   * Decides on a new request.
   *
   * @throws IllegalArgumentException if a request with the same id runs or waits
   */
  public synchronized AdmissionResult offer(AdmissionRequest request, long nowMillis) {
    checkNotNull(request, "request");
    checkArgument(
        !running.containsKey(request.id()) && !waiting.containsKey(request.id()),
        "id %s is in use",
        request.id());
    OrganisationState organisation = organisations.get(request.organisation());
    if (organisation == null) {
      return refused(ErrorKind.NOT_READY, "the organisation is not known here yet", 1_000);
    }
    organisation.onArrival(nowMillis);
    if (request.dueAtMillis() <= nowMillis) {
      return refused(ErrorKind.DEADLINE_EXCEEDED, "the due time has passed", 0);
    }
    ServiceQueue service = service(request.service());
    boolean free = service.hasRoom(request.priority()) && service.next(nowMillis).isEmpty();
    if (free && organisation.mayStart(nowMillis)) {
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
    ClassQueue classQueue = service.of(request.priority());
    int ahead = classQueue.queueOf(organisation).countDueBefore(request.dueAtMillis());
    // A share that has not followed the demand yet is no reason to refuse.
    boolean settling = organisation.settling(nowMillis);
    long limitWaitMillis = settling ? 0 : organisation.rateWaitMillis(ahead, nowMillis);
    long placeWaitMillis = placeWaitMillis(service, organisation, request.priority(), ahead);
    long waitMillis = Math.max(limitWaitMillis, placeWaitMillis);
    double answeredAtMillis = nowMillis + waitMillis + classQueue.serviceTimes().upperMillis();
    if (answeredAtMillis > request.dueAtMillis()) {
      boolean overLimit = limitWaitMillis >= placeWaitMillis && limitWaitMillis > 0;
      return overLimit ? overLimit(waitMillis) : overloaded(waitMillis);
    }
    lastOrder++;
    WaitingRequest entry = new WaitingRequest(request, lastOrder);
    service.add(organisation, entry);
    waiting.put(request.id(), entry);
    return service.waiting() <= MAX_WAITING
        ? new AdmissionResult.Queued()
        : evictFromLongest(service, request, waitMillis);
  }

  /** Returns the expected wait for a place behind others of the same organisation. */
  private static long placeWaitMillis(
      ServiceQueue service, OrganisationState organisation, Priority priority, int ahead) {
    ClassQueue classQueue = service.of(priority);
    double contendingWeight = classQueue.waitingWeight();
    if (classQueue.queueOf(organisation).isEmpty()) {
      contendingWeight += organisation.weight();
    }
    double fairPerMilli =
        service.throughputPerMilli(priority) * organisation.weight() / contendingWeight;
    return (long) Math.min((ahead + 1) / fairPerMilli, MAX_RETRY_AFTER_MILLIS);
  }

  /** Makes room by refusing the request due last of the longest queue. */
  @GuardedBy("this")
  private AdmissionResult evictFromLongest(
      ServiceQueue service, AdmissionRequest offered, long waitMillis) {
    ClassQueue longestClass = service.of(offered.priority());
    for (ClassQueue each : service.classes()) {
      longestClass = each.size() > longestClass.size() ? each : longestClass;
    }
    OrganisationQueue longest = longestClass.longest().orElseThrow();
    WaitingRequest victim = longest.last();
    longestClass.remove(longest, victim);
    waiting.remove(victim.request().id());
    AdmissionResult.Refused refused = overloaded(waitMillis);
    if (victim.request().id() == offered.id()) {
      return refused;
    }
    evicted.add(new RefusedRequest(victim.request().id(), refused.failure()));
    return new AdmissionResult.Queued();
  }

  /** Admits waiting requests that may start and refuses those that can no longer be answered. */
  public synchronized AdmissionDecisions poll(long nowMillis) {
    ImmutableList.Builder<Long> admitted = ImmutableList.builder();
    ImmutableList.Builder<RefusedRequest> refused = ImmutableList.builder();
    refused.addAll(evicted);
    evicted.clear();
    for (ServiceQueue service : services.values()) {
      if (service.waiting() > 0) {
        dropUnanswerable(service, refused, nowMillis);
        startWaiting(service, admitted, nowMillis);
      }
    }
    return new AdmissionDecisions(admitted.build(), refused.build());
  }

  @GuardedBy("this")
  private void dropUnanswerable(
      ServiceQueue service, ImmutableList.Builder<RefusedRequest> refused, long nowMillis) {
    for (ClassQueue classQueue : service.classes()) {
      long answeredAtMillis = nowMillis + (long) classQueue.serviceTimes().upperMillis();
      for (OrganisationQueue queue : classQueue.queues()) {
        while (!queue.isEmpty() && queue.first().request().dueAtMillis() < answeredAtMillis) {
          WaitingRequest late = queue.first();
          classQueue.remove(queue, late);
          waiting.remove(late.request().id());
          double meanMillis = classQueue.serviceTimes().meanMillis();
          Failure failure = overloaded((long) meanMillis).failure();
          refused.add(new RefusedRequest(late.request().id(), failure));
        }
      }
      classQueue.removeIdle();
    }
  }

  @GuardedBy("this")
  private void startWaiting(
      ServiceQueue service, ImmutableList.Builder<Long> admitted, long nowMillis) {
    while (service.next(nowMillis).isPresent()) {
      Priority priority = service.next(nowMillis).orElseThrow();
      ClassQueue classQueue = service.of(priority);
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

  /** Ends an admitted request; an id that does not run is ignored. */
  public synchronized void onFinished(long id, Outcome outcome, long nowMillis) {
    checkNotNull(outcome, "outcome");
    Running ended = running.remove(id);
    if (ended == null) {
      return;
    }
    ended.organisation.onEnded();
    Priority priority = ended.request.priority();
    ended.service.onEnded(priority);
    ClassQueue classQueue = ended.service.of(priority);
    if (outcome != Outcome.FAILED) {
      classQueue.serviceTimes().record((double) (nowMillis - ended.startedAtMillis));
    }
    if (outcome != Outcome.IN_TIME) {
      classQueue.refund(ended.organisation, REFUND_SHARE * ended.request.weight());
    }
  }

  /** Forgets a waiting request whose caller has gone; an id that does not wait is ignored. */
  public synchronized void onCancelled(long id) {
    WaitingRequest entry = waiting.remove(id);
    if (entry == null) {
      return;
    }
    ClassQueue classQueue = service(entry.request().service()).of(entry.request().priority());
    for (OrganisationQueue queue : classQueue.queues()) {
      classQueue.remove(queue, entry);
    }
  }

  /** Returns when {@link #poll} is to be called at the latest, if anything waits. */
  public synchronized OptionalLong nextDeadlineMillis(long nowMillis) {
    long next = evicted.isEmpty() ? Long.MAX_VALUE : nowMillis;
    for (ServiceQueue service : services.values()) {
      for (Priority priority : Priority.values()) {
        boolean room = service.hasRoom(priority);
        ClassQueue classQueue = service.of(priority);
        double upperMillis = classQueue.serviceTimes().upperMillis();
        for (OrganisationQueue queue : classQueue.queues()) {
          if (!queue.isEmpty()) {
            long marginMillis = (long) upperMillis;
            long dropAtMillis = queue.first().request().dueAtMillis() - marginMillis + 1;
            next = Math.min(next, dropAtMillis);
            long tokenAtMillis = nowMillis + queue.organisation().rateWaitMillis(0, nowMillis);
            next = room && tokenAtMillis > nowMillis ? Math.min(next, tokenAtMillis) : next;
          }
        }
      }
    }
    return next == Long.MAX_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(next, nowMillis));
  }

  private static AdmissionResult.Refused overLimit(long waitMillis) {
    return refused(ErrorKind.LIMIT_EXCEEDED, "the organisation is over its limit", waitMillis);
  }

  private static AdmissionResult.Refused overloaded(long waitMillis) {
    return refused(ErrorKind.OVERLOADED, "the due time cannot be met", waitMillis);
  }

  private static AdmissionResult.Refused refused(ErrorKind kind, String detail, long waitMillis) {
    long retryAfterMillis =
        Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(waitMillis, MAX_RETRY_AFTER_MILLIS));
    return new AdmissionResult.Refused(Failure.notRun(kind, detail, retryAfterMillis));
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
