package io.briarward.node.platform;

import com.google.common.collect.ImmutableList;
import io.briarward.core.capacity.OrderOutcome;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** The platform's interface that starts and stops upstreams by data centre. */
public interface UpstreamOrders {
  /** Orders an upstream to be started. */
  Single<OrderOutcome> start(StartOrder order);

  /** Orders an upstream to be stopped. */
  Single<OrderOutcome> stop(StopOrder order);

  /** Lists the upstreams of a data centre. */
  Single<ImmutableList<OrderedUpstream>> list(String dataCentre);

  /** The market an upstream is ordered on. */
  enum Market {
    ON_DEMAND,
    RECLAIMABLE
  }

  /** The state of an ordered upstream. */
  enum State {
    STARTING,
    RUNNING,
    RECLAIMING,
    STOPPING
  }

  /** An order to start one upstream. */
  record StartOrder(
      String orderId, String dataCentre, String service, Market market, long fencingNumber) {}

  /** An order to stop one upstream. */
  record StopOrder(String orderId, String dataCentre, String upstreamId, long fencingNumber) {}

  /**
   * An upstream as the platform lists it.
   *
   * @param reclaimAtMillis when the platform takes it back, in milliseconds since the Unix epoch
   * @param costPerHour what one hour costs
   */
  record OrderedUpstream(
      String id,
      String orderId,
      String dataCentre,
      String service,
      Market market,
      String host,
      int port,
      State state,
      Optional<Long> reclaimAtMillis,
      double costPerHour) {}
}
