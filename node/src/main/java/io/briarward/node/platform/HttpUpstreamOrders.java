package io.briarward.node.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import com.google.common.net.UrlEscapers;
import io.briarward.core.capacity.OrderOutcome;
import io.briarward.node.platform.JsonHttpClient.Reply;
import io.briarward.node.platform.PlatformException.Effect;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;

/** An HTTP client of the platform's upstream orders. */
public final class HttpUpstreamOrders implements UpstreamOrders {
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private final JsonHttpClient client;
  private final HostAndPort server;

  private HttpUpstreamOrders(JsonHttpClient client, HostAndPort server) {
    this.client = client;
    this.server = server;
  }

  /** Returns a client of the upstream orders at {@code server}. */
  public static HttpUpstreamOrders create(JsonHttpClient client, HostAndPort server) {
    return new HttpUpstreamOrders(client, server);
  }

  @Override
  public Single<OrderOutcome> start(StartOrder order) {
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("orderId", order.orderId())
            .put("action", "start")
            .put("dataCentre", order.dataCentre())
            .put("service", order.service())
            .put("market", order.market().name())
            .put("fencingNumber", order.fencingNumber());
    return client
        .send(HttpMethod.POST, server, "/v1/orders", body)
        .map(HttpUpstreamOrders::toOutcome);
  }

  @Override
  public Single<OrderOutcome> stop(StopOrder order) {
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("orderId", order.orderId())
            .put("action", "stop")
            .put("dataCentre", order.dataCentre())
            .put("upstreamId", order.upstreamId())
            .put("fencingNumber", order.fencingNumber());
    return client
        .send(HttpMethod.POST, server, "/v1/orders", body)
        .map(HttpUpstreamOrders::toOutcome);
  }

  @Override
  public Single<ImmutableList<OrderedUpstream>> list(String dataCentre) {
    String path =
        "/v1/upstreams?dataCentre=" + UrlEscapers.urlFormParameterEscaper().escape(dataCentre);
    return client.send(HttpMethod.GET, server, path).map(HttpUpstreamOrders::toUpstreams);
  }

  private static OrderOutcome toOutcome(Reply reply) {
    return switch (reply.status()) {
      case ACCEPTED -> OrderOutcome.ACCEPTED;
      case CONFLICT -> OrderOutcome.STALE_FENCING_NUMBER;
      case UNAVAILABLE -> toUnavailableOutcome(reply);
      default ->
          throw new PlatformException(
              Effect.NONE, "upstream orders returned unexpected status " + reply.status());
    };
  }

  /** Distinguishes a data centre without capacity from an outage of the interface. */
  private static OrderOutcome toUnavailableOutcome(Reply reply) {
    if (reply.json().path("error").asText().equals("no-capacity")) {
      return OrderOutcome.NO_CAPACITY;
    }
    throw new PlatformException(
        Effect.NONE, "upstream orders returned unexpected status " + reply.status());
  }

  private static ImmutableList<OrderedUpstream> toUpstreams(Reply reply) {
    if (reply.status() != OK) {
      throw new PlatformException(
          Effect.NONE, "upstream orders returned unexpected status " + reply.status());
    }
    ImmutableList.Builder<OrderedUpstream> upstreams = ImmutableList.builder();
    reply.json().path("upstreams").forEach(node -> upstreams.add(toUpstream(node)));
    return upstreams.build();
  }

  private static OrderedUpstream toUpstream(JsonNode node) {
    JsonNode reclaimAt = node.path("reclaimAtMillis");
    return new OrderedUpstream(
        node.path("id").asText(),
        node.path("orderId").asText(),
        node.path("dataCentre").asText(),
        node.path("service").asText(),
        Market.valueOf(node.path("market").asText()),
        node.path("host").asText(),
        node.path("port").asInt(),
        State.valueOf(node.path("state").asText()),
        reclaimAt.isNumber() ? Optional.of(reclaimAt.asLong()) : Optional.empty(),
        node.path("costPerHour").asDouble());
  }
}
