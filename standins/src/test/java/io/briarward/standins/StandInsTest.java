package io.briarward.standins;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import io.briarward.standins.engine.CompletionText;
import io.briarward.standins.http.Address;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.RunningStandIn;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class StandInsTest {
  private static final String REPORT = "/v1/reports/mill/60000";
  private static final String INSERT =
      "{\"conditions\":[{\"table\":\"t\",\"key\":\"a/b\",\"version\":0}],"
          + "\"writes\":[{\"table\":\"t\",\"key\":\"a/b\",\"value\":{\"x\":1}}]}";

  private final Vertx vertx = Vertx.vertx();
  private final List<RunningStandIn> started = new ArrayList<>();

  @AfterEach
  void closeAll() {
    started.forEach(RunningStandIn::close);
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test
  void everyStandInServesItsControls() throws Exception {
    for (StandIns.Name name : StandIns.Name.values()) {
      TestClient client = start(name, ImmutableMap.of());

      assertThat(client.status("GET", "/livez", "")).isEqualTo(200);
      assertThat(client.get("/control/state").path("requests").asInt(-1)).isEqualTo(0);
      assertThat(client.get("/control/faults").has("answerLostShare")).isTrue();
    }
  }

  @Test
  void unknownOptionIsRefused() {
    assertThrows(
        IllegalArgumentException.class,
        () -> start(StandIns.Name.PLAIN, ImmutableMap.of("batchLimit", "1")));
  }

  @Test
  void keysWithSlashesAreReadBackByTheirEncodedName() throws Exception {
    TestClient client = start(StandIns.Name.TABLE, ImmutableMap.of());

    client.send("POST", "/v1/transactions", INSERT);

    assertThat(client.get("/v1/tables/t/rows/a%2Fb").path("value").path("x").asInt()).isEqualTo(1);
  }

  @Test
  void failedConditionAnswersTheRowThatIsThere() throws Exception {
    TestClient client = start(StandIns.Name.TABLE, ImmutableMap.of());
    client.send("POST", "/v1/transactions", INSERT);

    var second = client.send("POST", "/v1/transactions", INSERT);

    assertThat(second.statusCode()).isEqualTo(409);
    assertThat(Json.parse(second.body()).at("/conflicts/0/value/x").asInt()).isEqualTo(1);
  }

  @Test
  void transactionWhoseAnswerIsLostTookEffect() throws Exception {
    TestClient client = start(StandIns.Name.TABLE, ImmutableMap.of());
    client.fault("answerLostShare", 1);
    assertThrows(IOException.class, () -> client.send("POST", "/v1/transactions", INSERT));

    client.fault("answerLostShare", 0);

    assertThat(client.status("GET", "/v1/tables/t/rows/a%2Fb", "")).isEqualTo(200);
  }

  @Test
  void transactionDuringAnOutageTakesNoEffect() throws Exception {
    TestClient client = start(StandIns.Name.TABLE, ImmutableMap.of());
    client.fault("outage", 1);

    int status = client.status("POST", "/v1/transactions", INSERT);
    client.fault("outage", 0);

    assertThat(status).isEqualTo(503);
    assertThat(client.status("GET", "/v1/tables/t/rows/a%2Fb", "")).isEqualTo(404);
  }

  @Test
  void objectIsNotReplacedWhenItMustBeNew() throws Exception {
    TestClient client = start(StandIns.Name.OBJECTS, ImmutableMap.of());
    client.send("PUT", "/v1/objects/a/b", "one", "If-None-Match", "*");

    int status = client.status("PUT", "/v1/objects/a/b", "two", "If-None-Match", "*");

    assertThat(status).isEqualTo(412);
    assertThat(client.send("GET", "/v1/objects/a/b", "").body()).isEqualTo("one");
  }

  @Test
  void differentFiguresOfOneWindowAreRefusedAndCounted() throws Exception {
    TestClient client = start(StandIns.Name.REPORTS, ImmutableMap.of());

    assertThat(client.status("PUT", REPORT, "{\"n\":1}", "Fencing-Number", "1")).isEqualTo(201);
    assertThat(client.status("PUT", REPORT, "{\"n\":1}", "Fencing-Number", "1")).isEqualTo(200);
    assertThat(client.status("PUT", REPORT, "{\"n\":2}", "Fencing-Number", "1")).isEqualTo(409);
    assertThat(client.get("/control/state").path("differentFigures").asInt()).isEqualTo(1);
  }

  @Test
  void requestsWithCredentialsAreCounted() throws Exception {
    TestClient client = start(StandIns.Name.PLAIN, ImmutableMap.of("secrets", "s3cret"));
    client.send("GET", "/orders?key=s3cret", "", "Authorization", "Bearer other");
    client.send("GET", "/orders", "");

    assertThat(client.get("/control/state").path("authorizationHeaders").asInt()).isEqualTo(1);
    assertThat(client.get("/control/state").path("requestsWithSecret").asInt()).isEqualTo(1);
  }

  @Test
  void plainServiceCountsRequestsThatRanTwice() throws Exception {
    TestClient client = start(StandIns.Name.PLAIN, ImmutableMap.of());
    client.send("POST", "/orders", "x", "Idempotency-Key", "k");
    client.send("POST", "/orders", "x", "Idempotency-Key", "k");

    assertThat(client.get("/control/state").path("requestsRunTwice").asInt()).isEqualTo(1);
  }

  @Test
  void streamedCompletionIsTheWholeText() throws Exception {
    TestClient client = start(StandIns.Name.ENGINE, ImmutableMap.of("stepBaseMicros", "10"));

    String body =
        client
            .send(
                "POST",
                "/v1/completions",
                "{\"prompt\":\"p\",\"seed\":7,\"max_tokens\":6,\"stream\":true}")
            .body();

    StringBuilder text = new StringBuilder();
    body.lines()
        .filter(line -> line.startsWith("data: {"))
        .map(line -> Json.parse(line.substring("data: ".length())))
        .forEach(chunk -> text.append(chunk.at("/choices/0/text").asText()));
    assertThat(text.toString()).isEqualTo(CompletionText.text("p", 7, 6));
    assertThat(body).endsWith("data: [DONE]\n\n");
  }

  @Test
  void wholeCompletionNamesTheVersionsOfItsTokens() throws Exception {
    TestClient client =
        start(StandIns.Name.ENGINE, ImmutableMap.of("weightVersion", "5", "stepBaseMicros", "10"));

    var answer =
        Json.parse(
            client.send("POST", "/v1/completions", "{\"prompt\":\"p\",\"max_tokens\":6}").body());

    assertThat(answer.path("weight_versions").toString())
        .isEqualTo("[{\"version\":5,\"start\":0,\"end\":6}]");
  }

  @Test
  void orderWithAnOldFencingNumberIsRefused() throws Exception {
    TestClient client = start(StandIns.Name.ENGINE, ImmutableMap.of());
    String order = "{\"kind\":\"SET_ROLE\",\"name\":\"decode\",\"fencingNumber\":%d}";

    assertThat(client.status("POST", "/v1/orders", String.format(order, 2))).isEqualTo(202);
    assertThat(client.status("POST", "/v1/orders", String.format(order, 1))).isEqualTo(409);
    client.fault("ignoreFencing", 1);
    assertThat(client.status("POST", "/v1/orders", String.format(order, 1))).isEqualTo(202);
  }

  @Test
  void repeatedStartOrderStartsOneUpstream() throws Exception {
    TestClient client = start(StandIns.Name.ORDERS, ImmutableMap.of());
    String order =
        "{\"orderId\":\"o1\",\"action\":\"start\",\"dataCentre\":\"nadi\","
            + "\"service\":\"recipe-llm\",\"market\":\"RECLAIMABLE\",\"fencingNumber\":1}";

    String first = client.send("POST", "/v1/orders", order).body();
    String second = client.send("POST", "/v1/orders", order).body();

    assertThat(second).isEqualTo(first);
    assertThat(client.get("/v1/upstreams?dataCentre=nadi").path("upstreams")).hasSize(1);
  }

  private TestClient start(StandIns.Name name, Map<String, String> options) {
    RunningStandIn running =
        StandIns.with(vertx, Schedulers.single())
            .start(name, Address.ephemeral(), options)
            .blockingGet();
    started.add(running);
    return TestClient.of(running);
  }
}
