package io.briarward.core.admission;

import java.util.TreeSet;

/**
 * The waiting requests of one organisation and priority class, ordered by deadline.
 *
 * <p>The virtual time is the service charged to the organisation divided by its weight. Not
 * thread-safe.
 */
final class OrganisationQueue {
  private final OrganisationState organisation;
  private final TreeSet<WaitingRequest> requests = new TreeSet<>(WaitingRequest.BY_DEADLINE);
  private double virtualTime;

  OrganisationQueue(OrganisationState organisation, double virtualTime) {
    this.organisation = organisation;
    this.virtualTime = virtualTime;
  }

  OrganisationState organisation() {
    return organisation;
  }

  double virtualTime() {
    return virtualTime;
  }

  /** Drops credit that the organisation gathered while none of its requests waited. */
  void advanceVirtualTimeTo(double virtualTime) {
    this.virtualTime = Math.max(this.virtualTime, virtualTime);
  }

  void charge(double service) {
    virtualTime += service / organisation.weight();
  }

  void add(WaitingRequest request) {
    requests.add(request);
    organisation.addWaiting(1);
  }

  WaitingRequest first() {
    return requests.first();
  }

  WaitingRequest last() {
    return requests.last();
  }

  void remove(WaitingRequest request) {
    if (requests.remove(request)) {
      organisation.addWaiting(-1);
    }
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  int size() {
    return requests.size();
  }

  /** Returns the number of waiting requests divided by the organisation's weight. */
  double weightedSize() {
    return requests.size() / organisation.weight();
  }

  /** Returns the number of requests served before one with the given deadline. */
  int countDueBefore(long dueAtMillis) {
    int count = 0;
    for (WaitingRequest waiting : requests) {
      if (waiting.request().dueAtMillis() > dueAtMillis) {
        return count;
      }
      count++;
    }
    return count;
  }
}
