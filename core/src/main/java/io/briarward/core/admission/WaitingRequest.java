package io.briarward.core.admission;

import java.util.Comparator;

/**
 * A request in a queue.
 *
 * @param request the request
 * @param order its place among all requests that were queued, which breaks ties
 */
record WaitingRequest(AdmissionRequest request, long order) {
  static final Comparator<WaitingRequest> BY_DUE_TIME =
      Comparator.comparingLong((WaitingRequest waiting) -> waiting.request.dueAtMillis())
          .thenComparingLong(WaitingRequest::order);
}
