package io.briarward.node.weights;

import io.briarward.core.configuration.Upstream;
import io.briarward.core.weights.SwapOrder;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.OptionalLong;

/** The samplers' load reports and orders. */
interface SamplerControl {
  /**
   * What a sampler reports of its weights.
   *
   * @param running the number of requests it runs
   */
  record Load(long weightVersion, OptionalLong loadingVersion, int running) {}

  /** Reads a sampler's report. */
  Single<Load> load(Upstream sampler);

  /**
   * Orders a swap; fails when the order was refused or not answered.
   *
   * @param source the sampler to load from, or empty for the weight store
   */
  Completable order(Upstream sampler, SwapOrder order, String service, Optional<Upstream> source);
}
