package io.briarward.standins.orders;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.RunningStandIn;
import java.util.Optional;

/** The lifecycle of an ordered upstream. Confined to the stand-in's event loop. */
final class OrderedUpstream {
  private static final double MILLIS_PER_HOUR = 3_600_000;

  private final String id;
  private final StartOrder order;
  private final double costPerHour;
  private final long orderedMillis;
  private State state = State.STARTING;
  private long startedMillis;
  private long reclaimAtMillis;
  private long endedMillis;
  private Optional<RunningStandIn> running = Optional.empty();

  /** The stages of the lifecycle. */
  enum State {
    STARTING,
    RUNNING,
    RECLAIMING,
    STOPPING,
    ENDED
  }

  /**
   * An order to start an upstream.
   *
   * @param orderId the id that the caller chose, which makes a repeated order idempotent
   * @param dataCentre the id of the data centre to start it in
   * @param service the id of the service that it belongs to
   * @param market the pricing model
   */
  record StartOrder(String orderId, String dataCentre, String service, Market market) {}

  OrderedUpstream(String id, StartOrder order, double costPerHour, long nowMillis) {
    this.id = id;
    this.order = order;
    this.costPerHour = costPerHour;
    this.orderedMillis = nowMillis;
  }

  String id() {
    return id;
  }

  StartOrder order() {
    return order;
  }

  State state() {
    return state;
  }

  boolean isListed() {
    return state != State.ENDED;
  }

  void markRunning(RunningStandIn upstream, long nowMillis) {
    running = Optional.of(upstream);
    startedMillis = nowMillis;
    if (state == State.STARTING) {
      state = State.RUNNING;
    }
  }

  void markReclaiming(long atMillis) {
    state = State.RECLAIMING;
    reclaimAtMillis = atMillis;
  }

  void markStopping() {
    state = State.STOPPING;
  }

  void end(long nowMillis) {
    if (state != State.ENDED) {
      state = State.ENDED;
      endedMillis = nowMillis;
      running.ifPresent(RunningStandIn::close);
    }
  }

  /** Returns the cost from the order to the end of the upstream, or to {@code nowMillis}. */
  double cost(long nowMillis) {
    long untilMillis = isListed() ? nowMillis : endedMillis;
    return (untilMillis - orderedMillis) * costPerHour / MILLIS_PER_HOUR;
  }

  ObjectNode toJson(String host) {
    return Json.object()
        .put("id", id)
        .put("orderId", order.orderId())
        .put("dataCentre", order.dataCentre())
        .put("service", order.service())
        .put("market", order.market().name())
        .put("host", host)
        .put("port", running.map(RunningStandIn::port).orElse(0))
        .put("state", state.name())
        .put("reclaimAtMillis", reclaimAtMillis)
        .put("costPerHour", costPerHour)
        .put("startedAtMillis", startedMillis);
  }
}
