package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.fleet.UpstreamEntry;
import io.reactivex.rxjava3.core.Single;

/** Reads the status of samplers and sends load orders to them. */
public interface SamplerOrders {
  /**
   * The status that a sampler reports.
   *
   * @param busy whether it is carrying out an order
   * @param acceptedOrders the number of orders that it has accepted since its start
   * @param modelVersions the weight version of each model
   * @param leaving whether the sampler announced that it leaves
   */
  record Status(
      boolean busy,
      long acceptedOrders,
      ImmutableMap<String, Long> modelVersions,
      boolean leaving) {
    /** Validates the components. */
    public Status {
      checkNotNull(modelVersions, "modelVersions");
    }
  }

  /** How a sampler treats running work when it loads other weights. */
  enum RunningWork {
    /** Running work finishes before the weights are loaded. */
    FINISH,
    /** Running work continues with the new weights. */
    KEEP
  }

  /**
   * An order to load weights.
   *
   * @param sampler the sampler that receives the order
   * @param model the id of the model
   * @param version the weight version to load
   * @param runningWork how the sampler treats running work
   * @param acceptedOrders the number of orders that the sampler must have accepted before this one
   * @param holder the name of the VM that holds the lease
   * @param fencingNumber the fencing number of the lease
   */
  record LoadOrder(
      UpstreamEntry sampler,
      String model,
      long version,
      RunningWork runningWork,
      long acceptedOrders,
      String holder,
      long fencingNumber) {
    /** Validates the components. */
    public LoadOrder {
      checkNotNull(sampler, "sampler");
      checkNotNull(model, "model");
      checkNotNull(runningWork, "runningWork");
      checkNotNull(holder, "holder");
    }
  }

  /** Returns the current status of {@code sampler}. */
  Single<Status> status(UpstreamEntry sampler);

  /**
   * Sends {@code order} to its sampler.
   *
   * @return whether the sampler accepted the order or had already carried it out
   */
  Single<Boolean> load(LoadOrder order);
}
