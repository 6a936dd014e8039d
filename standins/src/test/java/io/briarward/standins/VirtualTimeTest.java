package io.briarward.standins;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import io.briarward.standins.http.Address;
import io.briarward.standins.http.RunningStandIn;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class VirtualTimeTest {
  private static final int MAX_ADVANCES = 2_000;
  private static final String START =
      "{\"orderId\":\"%s\",\"action\":\"start\",\"dataCentre\":\"%s\","
          + "\"service\":\"order-desk\",\"market\":\"%s\",\"fencingNumber\":1}";

  private final TestScheduler time = new TestScheduler();
  private final Vertx vertx = Vertx.vertx();
  private final List<RunningStandIn> started = new ArrayList<>();

  @AfterEach
  void closeAll() {
    started.forEach(RunningStandIn::close);
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test
  void vmListLags() throws Exception {
    TestClient client = start(StandIns.Name.VMS, ImmutableMap.of("lagMillis", "2000"));
    advance(client, 5_000);
    client.send("PUT", "/control/vms", "{\"vms\":[{\"id\":\"vm-1\"}]}");

    advance(client, 1_999);
    assertThat(client.get("/v1/vms").path("vms")).isEmpty();
    advance(client, 1);
    assertThat(client.get("/v1/vms").path("vms")).hasSize(1);
  }

  @Test
  void orderedUpstreamAnswersAfterItsStart() throws Exception {
    TestClient client = start(StandIns.Name.ORDERS, ImmutableMap.of("plainServices", "order-desk"));
    client.send("POST", "/v1/orders", String.format(START, "o1", "nadi", "ON_DEMAND"));
    assertThat(upstream(client).path("state").asText()).isEqualTo("STARTING");

    awaitState(client, "RUNNING");

    TestClient upstream = TestClient.of(port(upstream(client).path("port").asInt()));
    assertThat(upstream.status("GET", "/livez", "")).isEqualTo(200);
  }

  @Test
  void reclaimedUpstreamEndsAfterItsNotice() throws Exception {
    TestClient client = start(StandIns.Name.ORDERS, ImmutableMap.of("plainServices", "order-desk"));
    client.send("POST", "/v1/orders", String.format(START, "o1", "nadi", "RECLAIMABLE"));
    awaitState(client, "RUNNING");
    TestClient upstream = TestClient.of(port(upstream(client).path("port").asInt()));

    client.fault("reclaimNoticeMillis", 3_000);
    assertThat(upstream(client).path("state").asText()).isEqualTo("RECLAIMING");
    advance(client, 3_000);

    assertThat(client.get("/v1/upstreams").path("upstreams")).isEmpty();
    assertThrows(IOException.class, () -> upstream.status("GET", "/livez", ""));
  }

  @Test
  void reclaimOfOneDataCentreSparesTheOthers() throws Exception {
    TestClient client = start(StandIns.Name.ORDERS, ImmutableMap.of());
    client.send("POST", "/v1/orders", String.format(START, "o1", "nadi", "RECLAIMABLE"));
    client.send("POST", "/v1/orders", String.format(START, "o2", "ba", "RECLAIMABLE"));

    client.send(
        "POST",
        "/control/faults",
        "{\"name\":\"reclaimNoticeMillis\",\"value\":1,\"dataCentre\":\"nadi\"}");
    advance(client, 1);

    assertThat(upstream(client).path("dataCentre").asText()).isEqualTo("ba");
  }

  @Test
  void dataCentreWithoutCapacityRefusesStarts() throws Exception {
    TestClient client = start(StandIns.Name.ORDERS, ImmutableMap.of());
    client.send(
        "POST", "/control/faults", "{\"name\":\"noCapacity\",\"value\":1,\"dataCentre\":\"nadi\"}");

    assertThat(status(client, "o1", "nadi")).isEqualTo(503);
    assertThat(status(client, "o2", "ba")).isEqualTo(202);
  }

  @Test
  void upstreamCostsUntilItEnds() throws Exception {
    TestClient client = start(StandIns.Name.ORDERS, ImmutableMap.of("onDemandCostPerHour", "3600"));
    client.send("POST", "/v1/orders", String.format(START, "o1", "nadi", "ON_DEMAND"));

    advance(client, 10_000);

    assertThat(client.get("/v1/upstreams").path("spent").asDouble()).isWithin(1e-9).of(10);
  }

  @Test
  void engineLoadsWeightsFromTheStore() throws Exception {
    TestClient engine = engineWithStore(ImmutableMap.of());
    engine.send("POST", "/v1/orders", "{\"kind\":\"LOAD_WEIGHTS\",\"version\":2}");

    awaitVersion(engine, 2);
  }

  @Test
  void failedLoadKeepsTheOldVersion() throws Exception {
    TestClient engine = engineWithStore(ImmutableMap.of());
    engine.fault("weightLoadFailure", 1);
    engine.send("POST", "/v1/orders", "{\"kind\":\"LOAD_WEIGHTS\",\"version\":2}");

    awaitNumber(engine, "weightLoadFailures", 1);

    assertThat(engine.get("/control/state").path("weightVersion").asInt()).isEqualTo(1);
  }

  @Test
  void loadReportLags() throws Exception {
    TestClient engine = start(StandIns.Name.ENGINE, ImmutableMap.of("loadLagMillis", "500"));
    engine.send("POST", "/v1/orders", "{\"kind\":\"LOAD_WEIGHTS\",\"version\":2}");
    awaitVersion(engine, 2);
    assertThat(engine.get("/v1/load").path("weightVersion").asInt()).isEqualTo(1);

    advance(engine, 500);

    assertThat(engine.get("/v1/load").path("weightVersion").asInt()).isEqualTo(2);
  }

  @Test
  void delayedOperationTakesEffectAfterTheDelay() throws Exception {
    TestClient table = start(StandIns.Name.TABLE, ImmutableMap.of());
    table.fault("delayMillis", 100);
    final var answer =
        CompletableFuture.supplyAsync(() -> statusUnchecked(table, "/v1/tables/t/rows"));
    awaitNumber(table, "requests", 1);

    assertThat(table.get("/control/state").path("reads").asInt()).isEqualTo(0);
    advance(table, 100);
    assertThat(answer.join()).isEqualTo(200);
  }

  private TestClient engineWithStore(Map<String, String> options) throws Exception {
    TestClient store = start(StandIns.Name.WEIGHTS, ImmutableMap.of());
    store.send("PUT", "/v1/weights/model/2", "weights");
    int port = started.get(0).port();
    ImmutableMap<String, String> all =
        ImmutableMap.<String, String>builder()
            .putAll(options)
            .put("weightStore", "127.0.0.1:" + port)
            .buildOrThrow();
    return start(StandIns.Name.ENGINE, all);
  }

  private TestClient start(StandIns.Name name, Map<String, String> options) {
    RunningStandIn running =
        StandIns.with(vertx, time).start(name, Address.ephemeral(), options).blockingGet();
    started.add(running);
    return TestClient.of(running);
  }

  /** Advances the clock; the call that follows is served after the timers that became due. */
  private void advance(TestClient client, long millis) throws Exception {
    time.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    client.get("/control/state");
  }

  private void awaitVersion(TestClient engine, int version) throws Exception {
    awaitNumber(engine, "weightVersion", version);
  }

  private void awaitNumber(TestClient client, String field, int value) throws Exception {
    for (int i = 0; i < MAX_ADVANCES; i++) {
      if (client.get("/control/state").path(field).asInt() == value) {
        return;
      }
      advance(client, 1);
    }
    throw new AssertionError(field + " is not " + value);
  }

  private void awaitState(TestClient orders, String state) throws Exception {
    for (int i = 0; i < MAX_ADVANCES; i++) {
      if (upstream(orders).path("state").asText().equals(state)) {
        return;
      }
      advance(orders, 1);
    }
    throw new AssertionError("upstream is not " + state);
  }

  private static JsonNode upstream(TestClient orders) throws Exception {
    return orders.get("/v1/upstreams").path("upstreams").path(0);
  }

  private static int status(TestClient orders, String orderId, String dataCentre) throws Exception {
    return orders.status(
        "POST", "/v1/orders", String.format(START, orderId, dataCentre, "ON_DEMAND"));
  }

  private static int statusUnchecked(TestClient client, String path) {
    try {
      return client.status("GET", path, "");
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static RunningStandIn port(int port) {
    return new RunningStandIn() {
      @Override
      public int port() {
        return port;
      }

      @Override
      public void close() {}
    };
  }
}
