package io.briarward.core.admission;

import java.util.TreeSet;

/**
 * The waiting requests of one organisation and class, in the order of their due times.
 *
 * <p>Its virtual time is the service that it got over its weight. Not thread-safe.
 */
final class OrganisationQueue {
  private final OrganisationState organisation;
  private final TreeSet<WaitingRequest> requests = new TreeSet<>(WaitingRequest.BY_DUE_TIME);
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

  /** Forfeits service that was not asked for while nothing waited. */
  void advanceTo(double virtualTime) {
    this.virtualTime = Math.max(this.virtualTime, virtualTime);
  }

  void charge(double service) {
    virtualTime += service / organisation.weight();
  }

  void add(WaitingRequest request) {
    requests.add(request);
    organisation.onWaiting(1);
  }

  WaitingRequest first() {
    return requests.first();
  }

  WaitingRequest last() {
    return requests.last();
  }

  void remove(WaitingRequest request) {
    if (requests.remove(request)) {
      organisation.onWaiting(-1);
    }
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  int size() {
    return requests.size();
  }

  /** Returns the backlog relative to the organisation's weight. */
  double weightedSize() {
    return requests.size() / organisation.weight();
  }

  /** Returns how many requests would be served before one due at the given time. */
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
