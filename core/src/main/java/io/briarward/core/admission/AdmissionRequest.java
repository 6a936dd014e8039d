package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The properties of a request on which admission depends.
 *
 * @param id unique among the requests that run or wait on the node
 * @param service the id of the service
 * @param organisation the id of the organisation whose limits the request counts towards
 * @param priority the priority class of the request
 * @param weight the amount of service charged to the organisation on admission, above 0; partly
 *     refunded if the request fails or is answered after its deadline
 * @param dueAtMillis the deadline of the response, in milliseconds of the caller's clock
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
