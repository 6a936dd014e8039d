package io.briarward.core.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** The waiting requests of one service and the places in which they run. Not thread-safe. */
final class ServiceQueue {
  /** The part of the places that rollouts leave free, since they hold a place for long. */
  private static final double LIVE_RESERVE = 0.2;

  private final Map<Priority, ClassQueue> classes = new EnumMap<>(Priority.class);
  private double capacity = Double.POSITIVE_INFINITY;
  private int running;
  private int runningRollouts;
  private double virtualTime;

  ServiceQueue() {
    for (Priority priority : Priority.values()) {
      classes.put(priority, new ClassQueue(priority));
    }
  }

  void setCapacity(double capacity) {
    this.capacity = capacity;
  }

  ClassQueue of(Priority priority) {
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

  /** Returns whether a place is free for a request of the class. */
  boolean hasRoom(Priority priority) {
    if (priority == Priority.LIVE) {
      return running + 1 <= capacity;
    }
    double forRollouts = Math.max(1, Math.floor(capacity * (1 - LIVE_RESERVE)));
    return running + 1 <= capacity && runningRollouts + 1 <= forRollouts;
  }

  /** Returns the class to serve next among those with room and a request that may start. */
  Optional<Priority> next(long nowMillis) {
    Priority best = null;
    for (Priority priority : Priority.values()) {
      boolean ready = hasRoom(priority) && of(priority).next(nowMillis).isPresent();
      if (ready && (best == null || of(priority).served() < of(best).served())) {
        best = priority;
      }
    }
    return Optional.ofNullable(best);
  }

  void add(OrganisationState organisation, WaitingRequest waiting) {
    ClassQueue queue = of(waiting.request().priority());
    if (queue.size() == 0) {
      queue.advanceTo(virtualTime);
    }
    queue.add(organisation, waiting);
  }

  void onStarted(OrganisationState organisation, AdmissionRequest request) {
    running++;
    runningRollouts += request.priority() == Priority.ROLLOUT ? 1 : 0;
    ClassQueue queue = of(request.priority());
    if (queue.size() == 0) {
      queue.advanceTo(virtualTime);
    }
    virtualTime = Math.max(virtualTime, queue.served());
    queue.charge(organisation, request.weight());
  }

  void onEnded(Priority priority) {
    running--;
    runningRollouts -= priority == Priority.ROLLOUT ? 1 : 0;
  }

  /** Returns how many requests of the class the service completes in a millisecond. */
  double throughputPerMilli(Priority priority) {
    double meanMillis = of(priority).serviceTimes().meanMillis();
    if (meanMillis <= 0 || Double.isInfinite(capacity)) {
      return Double.POSITIVE_INFINITY;
    }
    double contending = 0;
    for (Map.Entry<Priority, ClassQueue> entry : classes.entrySet()) {
      boolean contends = entry.getKey() == priority || entry.getValue().size() > 0;
      contending += contends ? entry.getKey().weight() : 0;
    }
    return Math.max(capacity, 1) / meanMillis * priority.weight() / contending;
  }
}
