package io.briarward.standins.orders;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.StandIns;
import io.briarward.standins.http.Json;
import io.briarward.standins.testing.StandInExtension;
import io.briarward.standins.testing.TestClient;
import java.io.UncheckedIOException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class OrderStandInTest {
  @RegisterExtension final StandInExtension standIns = new StandInExtension();

  private TestClient orders;

  @BeforeEach
  void start() {
    orders =
        standIns.start(
            StandIns.Name.ORDERS,
            "plainServices",
            "order-desk",
            "startMillis",
            "10",
            "onDemandCostPerHour",
            "3600");
  }

  @Test
  void repeatedStartOrderStartsOneUpstream() {
    String first = order("o1", "nadi", "RECLAIMABLE", 1).body();
    String second = order("o1", "nadi", "RECLAIMABLE", 1).body();

    assertThat(second).isEqualTo(first);
    assertThat(orders.get("/v1/upstreams?dataCentre=nadi").path("upstreams")).hasSize(1);
  }

  @Test
  void orderWithStaleFencingNumberIsRejected() {
    order("o1", "nadi", "ON_DEMAND", 2);

    assertThat(order("o2", "nadi", "ON_DEMAND", 1).status()).isEqualTo(409);
  }

  @Test
  void orderedUpstreamServesRequestsOnceStarted() {
    order("o1", "nadi", "ON_DEMAND", 1);
    assertThat(upstream().path("state").asText()).isEqualTo("STARTING");

    TestClient upstream = awaitRunning();

    assertThat(upstream.send("GET", "/livez", "").status()).isEqualTo(200);
  }

  @Test
  void stoppedUpstreamEndsAfterTheStopDuration() {
    order("o1", "nadi", "ON_DEMAND", 1);
    awaitRunning();
    String id = upstream().path("id").asText();

    orders.send(
        "POST",
        "/v1/orders",
        "{\"orderId\":\"o2\",\"action\":\"stop\",\"upstreamId\":\""
            + id
            + "\","
            + "\"dataCentre\":\"nadi\",\"fencingNumber\":1}");

    assertThat(upstream().path("state").asText()).isEqualTo("STOPPING");
    standIns.advance(orders, 5_000);
    assertThat(orders.get("/v1/upstreams").path("upstreams")).isEmpty();
  }

  @Test
  void reclaimedUpstreamEndsAfterTheNoticePeriod() {
    order("o1", "nadi", "RECLAIMABLE", 1);
    TestClient upstream = awaitRunning();

    orders.setFault("reclaimNoticeMillis", 3_000);
    assertThat(upstream().path("state").asText()).isEqualTo("RECLAIMING");
    standIns.advance(orders, 3_000);

    assertThat(orders.get("/v1/upstreams").path("upstreams")).isEmpty();
    assertThrows(UncheckedIOException.class, () -> upstream.send("GET", "/livez", ""));
  }

  @Test
  void reclaimInOneDataCentreLeavesTheOthersRunning() {
    order("o1", "nadi", "RECLAIMABLE", 1);
    order("o2", "ba", "RECLAIMABLE", 1);

    orders.setFault("reclaimNoticeMillis", 1, "nadi");
    standIns.advance(orders, 1);

    assertThat(upstream().path("dataCentre").asText()).isEqualTo("ba");
  }

  @Test
  void dataCentreWithoutCapacityRejectsStartOrders() {
    orders.setFault("noCapacity", 1, "nadi");

    assertThat(order("o1", "nadi", "ON_DEMAND", 1).status()).isEqualTo(503);
    assertThat(order("o2", "ba", "ON_DEMAND", 1).status()).isEqualTo(202);
  }

  @Test
  void upstreamCostAccruesFromItsOrder() {
    order("o1", "nadi", "ON_DEMAND", 1);

    standIns.advance(orders, 10_000);

    assertThat(orders.get("/v1/upstreams").path("spent").asDouble()).isWithin(1e-9).of(10);
  }

  private TestClient.Reply order(
      String orderId, String dataCentre, String market, int fencingNumber) {
    ObjectNode body =
        Json.object()
            .put("orderId", orderId)
            .put("action", "start")
            .put("dataCentre", dataCentre)
            .put("service", "order-desk")
            .put("market", market)
            .put("fencingNumber", fencingNumber);
    return orders.send("POST", "/v1/orders", body.toString());
  }

  private TestClient awaitRunning() {
    standIns.advanceUntil(orders, unused -> upstream().path("state").asText().equals("RUNNING"));
    return TestClient.of(upstream().path("port").asInt());
  }

  private JsonNode upstream() {
    return orders.get("/v1/upstreams").path("upstreams").path(0);
  }
}
