package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * An order to the platform, recorded in the table service before it is sent.
 *
 * <p>Orders are idempotent: the platform answers a repeated id as it did the first time. Immutable
 * and thread-safe.
 *
 * @param id the unique id of the order
 * @param action the action to perform
 * @param service the id of the service of the upstream
 * @param market the market of the upstream
 * @param upstreamId the id of the upstream to drain or stop, empty for a start
 */
public record Order(String id, Action action, String service, Market market, String upstreamId) {
  /** The action of an order. */
  public enum Action {
    /** Start an upstream. */
    START,
    /** Wait until an upstream is idle before stopping it; nothing is sent yet. */
    DRAIN,
    /** Stop an upstream. */
    STOP
  }

  /** Checks the fields. */
  public Order {
    checkArgument(!id.isEmpty(), "id is empty");
    checkNotNull(action, "action");
    checkNotNull(service, "service");
    checkNotNull(market, "market");
    checkArgument(
        upstreamId.isEmpty() == (action == Action.START),
        "upstreamId is '%s', expected to be empty only for START, action is %s",
        upstreamId,
        action);
  }

  /** Returns the order to stop the upstream that this order drains. */
  public Order toStop() {
    return new Order(id, Action.STOP, service, market, upstreamId);
  }

  static Order parse(String id, JsonNode value) {
    return new Order(
        id,
        Action.valueOf(value.path("action").asText()),
        value.path("service").asText(),
        Market.valueOf(value.path("market").asText()),
        value.path("upstreamId").asText());
  }

  JsonNode toJson(long fencingNumber) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("action", action.name())
        .put("service", service)
        .put("market", market.name())
        .put("upstreamId", upstreamId)
        .put("fencingNumber", fencingNumber);
  }
}
