package io.briarward.core.admission;

import java.util.Comparator;

/**
 * A queued request.
 *
 * @param request the request
 * @param sequence the position in the order of queueing, which breaks ties of equal deadlines
 */
record WaitingRequest(AdmissionRequest request, long sequence) {
  static final Comparator<WaitingRequest> BY_DEADLINE =
      Comparator.comparingLong((WaitingRequest waiting) -> waiting.request.dueAtMillis())
          .thenComparingLong(WaitingRequest::sequence);
}
