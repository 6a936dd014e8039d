package io.briarward.node.live;

import io.reactivex.rxjava3.core.Completable;

/** Records the usage of an organisation. */
@FunctionalInterface
public interface UsageRecorder {
  /**
   * Records {@code usage}.
   *
   * @return completes once the usage survives the loss of this VM, or if neither a peer nor the
   *     table service confirms a copy in time
   */
  Completable record(Usage usage);

  /**
   * The usage of one request.
   *
   * @param organisation the id of the organisation that is billed
   * @param service the id of the service that ran the request
   * @param kind {@code live} or {@code rollout}
   * @param weight the factor with which the request counts
   * @param promptTokens the number of prompt tokens; 0 for plain services
   * @param completionTokens the number of generated tokens; 0 for plain services
   * @param upstreamMillis the time from the arrival of the request to the end of the upstream's
   *     response, in milliseconds; 0 for rollouts
   */
  record Usage(
      String organisation,
      String service,
      String kind,
      double weight,
      long promptTokens,
      long completionTokens,
      long upstreamMillis) {}
}
