package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.errors.Failure;

/**
 * The waiting requests that a poll admitted or rejected.
 *
 * @param admitted the ids of the requests that may run now, in the order of admission
 * @param refused the requests that were rejected and will not run
 */
public record AdmissionDecisions(
    ImmutableList<Long> admitted, ImmutableList<RejectedRequest> refused) {
  /** Checks the fields. */
  public AdmissionDecisions {
    checkNotNull(admitted, "admitted");
    checkNotNull(refused, "refused");
  }

  /**
   * A waiting request that was rejected.
   *
   * @param id the id of the request
   * @param failure the failure to answer with, including the retry delay
   */
  public record RejectedRequest(long id, Failure failure) {
    /** Checks the field. */
    public RejectedRequest {
      checkNotNull(failure, "failure");
    }
  }
}
