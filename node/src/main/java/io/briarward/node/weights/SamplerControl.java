package io.briarward.node.weights;

import io.briarward.core.configuration.Upstream;
import io.briarward.core.weights.SwapOrder;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.OptionalLong;

/** Reads the load reports of samplers and orders weight swaps. */
interface SamplerControl {
  /**
   * The weights and load that a sampler reports.
   *
   * @param weightVersion the version that the sampler serves
   * @param loadingVersion the version that the sampler is loading, if any
   * @param running the number of running requests
   */
  record LoadReport(long weightVersion, OptionalLong loadingVersion, int running) {}

  /** Reads a sampler's load report. */
  Single<LoadReport> readLoadReport(Upstream sampler);

  /**
   * Orders a sampler to swap its weights; fails if the order is rejected or gets no response.
   *
   * @param source the sampler to load the weights from, or empty for the weight store
   */
  Completable orderSwap(
      Upstream sampler, SwapOrder order, String service, Optional<Upstream> source);
}
