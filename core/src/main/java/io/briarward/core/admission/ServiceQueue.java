package io.briarward.core.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** The waiting requests of one service and the slots in which they run. Not thread-safe. */
final class ServiceQueue {
  /** The fraction of slots kept free of rollouts, since a rollout occupies its slot for long. */
  private static final double LIVE_RESERVE_FRACTION = 0.2;

  private final Map<Priority, ClassQueue> classes = new EnumMap<>(Priority.class);
  private double capacity = Double.POSITIVE_INFINITY;
  private int running;
  private int runningRollouts;
  private double virtualServiceMillis;

  ServiceQueue() {
    for (Priority priority : Priority.values()) {
      classes.put(priority, new ClassQueue(priority));
    }
  }

  void setCapacity(double capacity) {
    this.capacity = capacity;
  }

  ClassQueue classQueue(Priority priority) {
    return classes.get(priority);
  }

  Iterable<ClassQueue> classes() {
    return classes.values();
  }

  int running() {
    return running;
  }

  int waiting() {
    int waiting = 0;
    for (ClassQueue queue : classes.values()) {
      waiting += queue.size();
    }
    return waiting;
  }

  /** Returns whether a slot is free for a request of the class. */
  boolean hasCapacity(Priority priority) {
    if (priority == Priority.LIVE) {
      return running + 1 <= capacity;
    }
    double rolloutCapacity = Math.max(1, Math.floor(capacity * (1 - LIVE_RESERVE_FRACTION)));
    return running + 1 <= capacity && runningRollouts + 1 <= rolloutCapacity;
  }

  /** Returns the class to serve next among those with a free slot and a request that can start. */
  Optional<Priority> next(long nowMillis) {
    Priority best = null;
    for (Priority priority : Priority.values()) {
      boolean canStart = hasCapacity(priority) && classQueue(priority).next(nowMillis).isPresent();
      if (canStart
          && (best == null
              || classQueue(priority).virtualServiceMillis()
                  < classQueue(best).virtualServiceMillis())) {
        best = priority;
      }
    }
    return Optional.ofNullable(best);
  }

  void add(OrganisationState organisation, WaitingRequest waiting) {
    ClassQueue queue = classQueue(waiting.request().priority());
    if (queue.size() == 0) {
      queue.advanceVirtualServiceTo(virtualServiceMillis);
    }
    queue.add(organisation, waiting);
  }

  void onStarted(OrganisationState organisation, AdmissionRequest request) {
    running++;
    runningRollouts += request.priority() == Priority.ROLLOUT ? 1 : 0;
    ClassQueue queue = classQueue(request.priority());
    if (queue.size() == 0) {
      queue.advanceVirtualServiceTo(virtualServiceMillis);
    }
    virtualServiceMillis = Math.max(virtualServiceMillis, queue.virtualServiceMillis());
    queue.charge(organisation, request.weight());
  }

  void onEnded(Priority priority) {
    running--;
    runningRollouts -= priority == Priority.ROLLOUT ? 1 : 0;
  }

  /** Estimates how many requests of the class the service completes in a millisecond. */
  double throughputPerMilli(Priority priority) {
    double meanMillis = classQueue(priority).serviceTime().meanMillis();
    if (meanMillis <= 0 || Double.isInfinite(capacity)) {
      return Double.POSITIVE_INFINITY;
    }
    double contendingWeight = 0;
    for (Map.Entry<Priority, ClassQueue> entry : classes.entrySet()) {
      boolean contends = entry.getKey() == priority || entry.getValue().size() > 0;
      contendingWeight += contends ? entry.getKey().weight() : 0;
    }
    return Math.max(capacity, 1) / meanMillis * priority.weight() / contendingWeight;
  }
}
