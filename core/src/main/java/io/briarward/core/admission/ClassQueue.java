package io.briarward.core.admission;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The waiting requests of one priority class, scheduled fairly among organisations.
 *
 * <p>Uses start-time fair queueing: the organisation with the least virtual time is served next.
 * Not thread-safe.
 */
final class ClassQueue {
  private final Priority priority;
  private final ServiceTimeEstimate serviceTime = new ServiceTimeEstimate();
  private final Map<String, OrganisationQueue> queues = new LinkedHashMap<>();
  private double virtualTime;
  private double virtualServiceMillis;
  private int size;

  ClassQueue(Priority priority) {
    this.priority = priority;
  }

  ServiceTimeEstimate serviceTime() {
    return serviceTime;
  }

  Collection<OrganisationQueue> queues() {
    return queues.values();
  }

  int size() {
    return size;
  }

  /** Returns the slot time charged to the class divided by its weight, in milliseconds. */
  double virtualServiceMillis() {
    return virtualServiceMillis;
  }

  /** Drops credit that the class gathered while none of its requests waited. */
  void advanceVirtualServiceTo(double millis) {
    virtualServiceMillis = Math.max(virtualServiceMillis, millis);
  }

  OrganisationQueue queueOf(OrganisationState organisation) {
    return queues.computeIfAbsent(
        organisation.id(), id -> new OrganisationQueue(organisation, virtualTime));
  }

  void add(OrganisationState organisation, WaitingRequest waiting) {
    OrganisationQueue queue = queueOf(organisation);
    if (queue.isEmpty()) {
      queue.advanceVirtualTimeTo(virtualTime);
    }
    queue.add(waiting);
    size++;
  }

  void remove(OrganisationQueue queue, WaitingRequest waiting) {
    int before = queue.size();
    queue.remove(waiting);
    size -= before - queue.size();
  }

  /** Charges the organisation and the class for an admitted request. */
  void charge(OrganisationState organisation, double weight) {
    OrganisationQueue queue = queueOf(organisation);
    if (queue.isEmpty()) {
      queue.advanceVirtualTimeTo(virtualTime);
    }
    virtualTime = Math.max(virtualTime, queue.virtualTime());
    queue.charge(weight);
    // Classes compete for slots, so a class is charged the expected time in its slot.
    virtualServiceMillis += Math.max(1, serviceTime.meanMillis()) / priority.weight();
  }

  /** Refunds part of a charge, for a request that failed or was answered after its deadline. */
  void refund(OrganisationState organisation, double weight) {
    OrganisationQueue queue = queues.get(organisation.id());
    if (queue != null) {
      queue.charge(-weight);
    }
  }

  /** Returns the queue to serve next among organisations that can start a request. */
  Optional<OrganisationQueue> next(long nowMillis) {
    OrganisationQueue best = null;
    for (OrganisationQueue queue : queues.values()) {
      boolean ready = !queue.isEmpty() && queue.organisation().canStart(nowMillis);
      if (ready && (best == null || queue.virtualTime() < best.virtualTime())) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the queue with the largest backlog relative to its organisation's weight. */
  Optional<OrganisationQueue> longestBacklog() {
    OrganisationQueue longest = null;
    for (OrganisationQueue queue : queues.values()) {
      if (!queue.isEmpty() && (longest == null || queue.weightedSize() > longest.weightedSize())) {
        longest = queue;
      }
    }
    return Optional.ofNullable(longest);
  }

  /** Returns the total weight of the organisations with waiting requests. */
  double waitingWeight() {
    double weight = 0;
    for (OrganisationQueue queue : queues.values()) {
      weight += queue.isEmpty() ? 0 : queue.organisation().weight();
    }
    return weight;
  }

  /** Removes empty queues whose virtual time is not ahead of the class's. */
  void removeIdle() {
    queues.values().removeIf(queue -> queue.isEmpty() && queue.virtualTime() <= virtualTime);
  }
}
