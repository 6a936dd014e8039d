package io.briarward.experiments.serving;

import com.google.common.collect.ImmutableList;
import io.briarward.core.admission.AdmissionControl;
import io.briarward.core.admission.AdmissionControl.Outcome;
import io.briarward.core.admission.AdmissionDecisions;
import io.briarward.core.admission.AdmissionRequest;
import io.briarward.core.admission.Priority;
import io.briarward.core.configuration.Organisation;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates a node in front of a service with a fixed number of slots, in virtual time.
 *
 * <p>Without admission control, requests wait in one FIFO queue and run even after their deadline.
 * Callers that receive no answer before the deadline retry at most {@code retries} times.
 */
final class AdmissionTrial {
  static final int SLOTS = 16;
  static final long MEAN_SERVICE_MILLIS = 200;
  private static final long DEADLINE_MILLIS = 1_000;
  private static final int MAX_CONCURRENT = 1_000_000;

  private final SplittableRandom random;
  private final boolean admissionControlled;
  private final int retries;
  private final AdmissionControl control = AdmissionControl.create();
  private final Deque<AdmissionRequest> fifoQueue = new ArrayDeque<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
  private final Map<Long, AdmissionRequest> requests = new HashMap<>();
  private final Map<Long, Integer> attempts = new HashMap<>();
  private final Map<String, Integer> answered = new HashMap<>();
  private final Map<String, Integer> offered = new HashMap<>();
  private int running;
  private long lastId;
  private long nowMillis;

  AdmissionTrial(long seed, boolean admissionControlled, int retries, int organisations) {
    this.random = new SplittableRandom(seed);
    this.admissionControlled = admissionControlled;
    this.retries = retries;
    ImmutableList.Builder<Organisation> all = ImmutableList.builder();
    for (int i = 0; i < organisations; i++) {
      all.add(new Organisation("org-" + i, "kitamon", 1, 1e6, MAX_CONCURRENT));
    }
    control.replaceOrganisations(all.build(), 1, 0);
    control.setCapacity("s", SLOTS);
  }

  private record Event(long atMillis, Runnable action) {}

  /** Returns the capacity of all slots in requests per second. */
  static double capacityPerSecond() {
    return SLOTS * 1_000.0 / MEAN_SERVICE_MILLIS;
  }

  /** Schedules Poisson arrivals of an organisation at a mean rate until the given time. */
  void scheduleArrivals(String organisation, double perSecond, long untilMillis) {
    double atMillis = 0;
    while (atMillis < untilMillis) {
      atMillis -= Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      schedule((long) atMillis, () -> arrive(organisation, 0));
    }
  }

  void run(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis <= untilMillis) {
      Event event = events.poll();
      nowMillis = event.atMillis;
      event.action.run();
    }
  }

  int answeredInTime(String organisation) {
    return answered.getOrDefault(organisation, 0);
  }

  int offered(String organisation) {
    return offered.getOrDefault(organisation, 0);
  }

  int allAnsweredInTime() {
    return answered.values().stream().mapToInt(Integer::intValue).sum();
  }

  private void schedule(long atMillis, Runnable action) {
    events.add(new Event(atMillis, action));
  }

  private void arrive(String organisation, int attempt) {
    if (attempt == 0) {
      offered.merge(organisation, 1, Integer::sum);
    }
    lastId++;
    long id = lastId;
    AdmissionRequest request =
        new AdmissionRequest(id, "s", organisation, Priority.LIVE, 1, nowMillis + DEADLINE_MILLIS);
    requests.put(id, request);
    attempts.put(id, attempt);
    schedule(request.dueAtMillis(), () -> onDeadlineExpired(id));
    if (admissionControlled) {
      control
          .offer(request, nowMillis)
          .match(
              () -> start(request),
              () -> true,
              failure -> retry(id, failure.retryAfterMillis().orElse(0L)));
      applyDecisions();
    } else if (running < SLOTS) {
      start(request);
    } else {
      fifoQueue.add(request);
    }
  }

  private boolean start(AdmissionRequest request) {
    running++;
    // Uniform between 0.5 and 1.5 times the mean.
    long serviceMillis = MEAN_SERVICE_MILLIS / 2 + random.nextLong(MEAN_SERVICE_MILLIS);
    schedule(nowMillis + serviceMillis, () -> finish(request));
    return true;
  }

  private void finish(AdmissionRequest request) {
    running--;
    boolean inTime = requests.remove(request.id()) != null;
    if (inTime) {
      answered.merge(request.organisation(), 1, Integer::sum);
    }
    if (admissionControlled) {
      Outcome outcome = inTime ? Outcome.IN_TIME : Outcome.LATE;
      control.onFinished(request.id(), outcome, nowMillis);
      applyDecisions();
    } else if (!fifoQueue.isEmpty()) {
      start(fifoQueue.remove());
    }
  }

  private void applyDecisions() {
    AdmissionDecisions decisions = control.poll(nowMillis);
    decisions.admitted().forEach(id -> start(requests.get(id)));
    decisions
        .refused()
        .forEach(
            rejected -> retry(rejected.id(), rejected.failure().retryAfterMillis().orElse(0L)));
  }

  /** Retries on the expired deadline; the service is not told and still runs the request. */
  private void onDeadlineExpired(long id) {
    retry(id, 0);
  }

  private boolean retry(long id, long afterMillis) {
    AdmissionRequest request = requests.remove(id);
    int attempt = Optional.ofNullable(attempts.remove(id)).orElse(retries);
    if (request != null && attempt < retries) {
      schedule(nowMillis + afterMillis, () -> arrive(request.organisation(), attempt + 1));
    }
    return false;
  }
}
