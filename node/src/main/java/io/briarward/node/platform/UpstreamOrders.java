package io.briarward.node.platform;

import com.google.common.collect.ImmutableList;
import io.briarward.core.capacity.OrderOutcome;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** The platform's interface for starting, stopping and listing upstreams in a data centre. */
public interface UpstreamOrders {
  /** Sends an order to start an upstream. */
  Single<OrderOutcome> start(StartOrder order);

  /** Sends an order to stop an upstream. */
  Single<OrderOutcome> stop(StopOrder order);

  /** Returns the upstreams of a data centre. */
  Single<ImmutableList<OrderedUpstream>> list(String dataCentre);

  /** The market on which an upstream is ordered. */
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
   * @param orderId the id of the order that started it
   * @param reclaimAtMillis the time at which the platform reclaims it, in milliseconds since the
   *     Unix epoch, if it is to be reclaimed
   * @param costPerHour the cost of one hour
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
