package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.fleet.UpstreamEntry;
import io.reactivex.rxjava3.core.Single;

/** Gives orders to samplers. */
public interface SamplerOrders {
  /**
   * What a sampler says of itself when it is asked.
   *
   * @param busy whether an order is being carried out
   * @param acceptedOrders how many orders it accepted since its start
   * @param modelVersions the version of the weights of each model
   */
  record Status(boolean busy, long acceptedOrders, ImmutableMap<String, Long> modelVersions) {
    /** Checks the fields. */
    public Status {
      checkNotNull(modelVersions, "modelVersions");
    }
  }

  /** What becomes of the runs on a sampler that loads other weights. */
  enum RunningWork {
    /** They finish first. */
    FINISH,
    /** They go on under the new weights. */
    KEEP
  }

  /**
   * An order to load weights.
   *
   * @param acceptedOrders how many orders the sampler must have accepted before
   * @param holder the VM that holds the lease
   * @param fencingNumber the number of its lease
   */
  record LoadOrder(
      UpstreamEntry sampler,
      String model,
      long version,
      RunningWork runningWork,
      long acceptedOrders,
      String holder,
      long fencingNumber) {
    /** Checks the fields. */
    public LoadOrder {
      checkNotNull(sampler, "sampler");
      checkNotNull(model, "model");
      checkNotNull(runningWork, "runningWork");
      checkNotNull(holder, "holder");
    }
  }

  /** Asks a sampler for its state. */
  Single<Status> status(UpstreamEntry sampler);

  /** Sends an order and returns whether the sampler accepted it or had carried it out before. */
  Single<Boolean> load(LoadOrder order);
}
