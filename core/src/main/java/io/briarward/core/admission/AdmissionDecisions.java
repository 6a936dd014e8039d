package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.errors.Failure;

/**
 * What became of waiting requests.
 *
 * @param admitted the ids of those that may run now, in the order of admission
 * @param refused those that will not run
 */
public record AdmissionDecisions(
    ImmutableList<Long> admitted, ImmutableList<RefusedRequest> refused) {
  /** Checks the fields. */
  public AdmissionDecisions {
    checkNotNull(admitted, "admitted");
    checkNotNull(refused, "refused");
  }

  /**
   * A request that waited and will not run.
   *
   * @param id the id of the request
   * @param failure the answer, with the time to come back
   */
  public record RefusedRequest(long id, Failure failure) {
    /** Checks the field. */
    public RefusedRequest {
      checkNotNull(failure, "failure");
    }
  }
}
