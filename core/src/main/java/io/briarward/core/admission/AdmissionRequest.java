package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What admission needs to know of a request.
 *
 * @param id unique among the requests of the node that have not ended
 * @param service the id of the service
 * @param organisation the id of the organisation that the request counts for
 * @param priority the class of the request
 * @param weight what the request counts when answered in its due time, above 0
 * @param dueAtMillis when the answer is due
 */
public record AdmissionRequest(
    long id,
    String service,
    String organisation,
    Priority priority,
    double weight,
    long dueAtMillis) {
  /** Checks the fields. */
  public AdmissionRequest {
    checkNotNull(service, "service");
    checkNotNull(organisation, "organisation");
    checkNotNull(priority, "priority");
    checkArgument(weight > 0, "weight is %s, expected > 0", weight);
  }
}
