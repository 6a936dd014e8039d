package io.briarward.core.admission;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The waiting requests of one class, shared fairly among organisations.
 *
 * <p>Start-time fair queueing: the organisation with the least service over its weight goes first.
 * Not thread-safe.
 */
final class ClassQueue {
  private final Priority priority;
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final Map<String, OrganisationQueue> queues = new LinkedHashMap<>();
  private double virtualTime;
  private double served;
  private int size;

  ClassQueue(Priority priority) {
    this.priority = priority;
  }

  ServiceTimes serviceTimes() {
    return serviceTimes;
  }

  Collection<OrganisationQueue> queues() {
    return queues.values();
  }

  int size() {
    return size;
  }

  /** Returns the time for which the class held places, over its weight, in milliseconds. */
  double served() {
    return served;
  }

  /** Forfeits service that the class did not ask for while nothing of it waited. */
  void advanceTo(double served) {
    this.served = Math.max(this.served, served);
  }

  OrganisationQueue queueOf(OrganisationState organisation) {
    return queues.computeIfAbsent(
        organisation.id(), id -> new OrganisationQueue(organisation, virtualTime));
  }

  void add(OrganisationState organisation, WaitingRequest waiting) {
    OrganisationQueue queue = queueOf(organisation);
    if (queue.isEmpty()) {
      queue.advanceTo(virtualTime);
    }
    queue.add(waiting);
    size++;
  }

  void remove(OrganisationQueue queue, WaitingRequest waiting) {
    int before = queue.size();
    queue.remove(waiting);
    size -= before - queue.size();
  }

  /** Charges an organisation and the class for a request that is admitted. */
  void charge(OrganisationState organisation, double weight) {
    OrganisationQueue queue = queueOf(organisation);
    if (queue.isEmpty()) {
      queue.advanceTo(virtualTime);
    }
    virtualTime = Math.max(virtualTime, queue.virtualTime());
    queue.charge(weight);
    // Classes compete for places, so that a class counts the time for which it holds them.
    served += Math.max(1, serviceTimes.meanMillis()) / priority.weight();
  }

  /** Returns part of a charge, since the answer did not count as service. */
  void refund(OrganisationState organisation, double weight) {
    OrganisationQueue queue = queues.get(organisation.id());
    if (queue != null) {
      queue.charge(-weight);
    }
  }

  /** Returns the queue to serve next among those whose organisation may start a request. */
  Optional<OrganisationQueue> next(long nowMillis) {
    OrganisationQueue best = null;
    for (OrganisationQueue queue : queues.values()) {
      boolean ready = !queue.isEmpty() && queue.organisation().mayStart(nowMillis);
      if (ready && (best == null || queue.virtualTime() < best.virtualTime())) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the queue with the longest backlog over its weight. */
  Optional<OrganisationQueue> longest() {
    OrganisationQueue longest = null;
    for (OrganisationQueue queue : queues.values()) {
      if (!queue.isEmpty() && (longest == null || queue.weightedSize() > longest.weightedSize())) {
        longest = queue;
      }
    }
    return Optional.ofNullable(longest);
  }

  /** Returns the sum of the weights of the organisations that have requests waiting. */
  double waitingWeight() {
    double weight = 0;
    for (OrganisationQueue queue : queues.values()) {
      weight += queue.isEmpty() ? 0 : queue.organisation().weight();
    }
    return weight;
  }

  /** Forgets organisations that are not ahead of the others and have nothing waiting. */
  void removeIdle() {
    queues.values().removeIf(queue -> queue.isEmpty() && queue.virtualTime() <= virtualTime);
  }
}
