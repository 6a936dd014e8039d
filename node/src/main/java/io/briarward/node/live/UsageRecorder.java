package io.briarward.node.live;

import io.reactivex.rxjava3.core.Completable;

/** Records what an upstream ran for an organisation. */
@FunctionalInterface
public interface UsageRecorder {
  /** Records the usage; completes when it outlives this VM, or when waiting longer is no use. */
  Completable record(Usage usage);

  /**
   * The usage of one request.
   *
   * @param organisation whom it is billed to
   * @param service the service that ran it
   * @param kind {@code live} or {@code rollout}
   * @param weight what it counts
   * @param promptTokens tokens of the prompt, 0 for plain services
   * @param completionTokens tokens generated, 0 for plain services
   * @param upstreamMillis how long the upstream worked on it
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
