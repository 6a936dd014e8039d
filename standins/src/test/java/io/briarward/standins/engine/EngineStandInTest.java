package io.briarward.standins.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.briarward.standins.StandIns;
import io.briarward.standins.http.Json;
import io.briarward.standins.testing.StandInExtension;
import io.briarward.standins.testing.TestClient;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class EngineStandInTest {
  private static final String STREAMED_REQUEST =
      "{\"prompt\":\"p\",\"seed\":7,\"max_tokens\":6,\"stream\":true}";
  private static final String UNSTREAMED_REQUEST = "{\"prompt\":\"p\",\"seed\":7,\"max_tokens\":6}";
  private static final String LOAD_VERSION_2 =
      "{\"kind\":\"LOAD_WEIGHTS\",\"version\":2,\"fencingNumber\":1}";

  @RegisterExtension final StandInExtension standIns = new StandInExtension();

  @Test
  void streamedCompletionSendsTheFullText() {
    TestClient engine = standIns.start(StandIns.Name.ENGINE);

    String body = standIns.send(engine, "POST", "/v1/completions", STREAMED_REQUEST).body();

    assertThat(text(body)).isEqualTo(CompletionText.text("p", 7, 6));
    assertThat(body).endsWith("data: [DONE]\n\n");
  }

  @Test
  void resumedStreamSendsOnlyTheRemainingText() {
    TestClient engine = standIns.start(StandIns.Name.ENGINE);
    String start = CompletionText.text("p", 7, 0, 2);
    String request = STREAMED_REQUEST.replace("}", ",\"resume_text\":\"" + start + "\"}");

    String body = standIns.send(engine, "POST", "/v1/completions", request).body();

    assertThat(start + text(body)).isEqualTo(CompletionText.text("p", 7, 6));
  }

  @Test
  void unstreamedCompletionReportsTheWeightVersionsOfItsTokens() {
    TestClient engine = standIns.start(StandIns.Name.ENGINE, "weightVersion", "5");

    JsonNode response = standIns.send(engine, "POST", "/v1/completions", UNSTREAMED_REQUEST).json();

    assertThat(response.path("weight_versions").toString())
        .isEqualTo("[{\"version\":5,\"start\":0,\"end\":6}]");
  }

  @Test
  void truncatedStreamClosesTheConnection() {
    TestClient engine = standIns.start(StandIns.Name.ENGINE);
    engine.setFault("truncatedShare", 1);

    assertThrows(
        CompletionException.class,
        () -> standIns.send(engine, "POST", "/v1/completions", STREAMED_REQUEST));
  }

  @Test
  void cancelledCompletionStopsGenerating() {
    TestClient engine = standIns.start(StandIns.Name.ENGINE);
    final var reply =
        CompletableFuture.supplyAsync(
            () -> engine.send("POST", "/v1/completions", STREAMED_REQUEST, "X-Request-Id", "r1"));
    standIns.advanceUntil(engine, client -> client.counter("generatedTokens") == 1);

    engine.send("DELETE", "/v1/completions/r1", "");
    standIns.advance(engine, 1_000);

    assertThat(engine.counter("cancelled")).isEqualTo(1);
    assertThat(engine.counter("generatedTokens")).isEqualTo(1);
    assertThrows(CompletionException.class, reply::join);
  }

  @Test
  void crashDropsRunningCompletionsAndLoadedWeights() {
    TestClient engine = standIns.start(StandIns.Name.ENGINE, "weightLoadMillis", "5");
    engine.send("POST", "/v1/orders", LOAD_VERSION_2);
    standIns.advanceUntil(engine, client -> client.counter("weightVersion") == 2);
    final var reply =
        CompletableFuture.supplyAsync(
            () -> engine.send("POST", "/v1/completions", STREAMED_REQUEST));
    standIns.advanceUntil(engine, client -> client.counter("generatedTokens") == 1);

    engine.setFault("crashMillis", 100);
    standIns.advanceTime(100);

    assertThrows(CompletionException.class, reply::join);
    assertThat(engine.counter("weightVersion")).isEqualTo(1);
    assertThat(engine.counter("running")).isEqualTo(0);
  }

  @Test
  void slowedEngineResumesWhenTheFaultIsSwitchedOff() {
    TestClient engine = standIns.start(StandIns.Name.ENGINE);
    engine.setFault("slowdown", 1e9);
    final var reply =
        CompletableFuture.supplyAsync(
            () -> engine.send("POST", "/v1/completions", UNSTREAMED_REQUEST));
    standIns.advanceUntil(engine, client -> client.counter("started") == 1);
    standIns.advance(engine, 10_000);
    assertThat(engine.counter("generatedTokens")).isEqualTo(0);

    engine.setFault("slowdown", 0);
    standIns.advanceUntil(engine, unused -> reply.isDone());

    assertThat(reply.join().status()).isEqualTo(200);
  }

  @Test
  void orderWithStaleFencingNumberIsRejectedUnlessFencingIsIgnored() {
    TestClient engine = standIns.start(StandIns.Name.ENGINE);
    String order = "{\"kind\":\"SET_ROLE\",\"name\":\"decode\",\"fencingNumber\":%d}";
    engine.send("POST", "/v1/orders", String.format(order, 2));

    String stale = String.format(order, 1);
    assertThat(engine.send("POST", "/v1/orders", stale).status()).isEqualTo(409);
    engine.setFault("ignoreFencing", 1);
    assertThat(engine.send("POST", "/v1/orders", stale).status()).isEqualTo(202);
  }

  @Test
  void weightsAreFetchedFromTheStore() {
    TestClient engine = engineWithStore();

    engine.send("POST", "/v1/orders", LOAD_VERSION_2);

    standIns.advanceUntil(engine, client -> client.counter("weightVersion") == 2);
  }

  @Test
  void weightsAreFetchedFromAnotherEngine() {
    TestClient first = engineWithStore();
    first.send("POST", "/v1/orders", LOAD_VERSION_2);
    standIns.advanceUntil(first, client -> client.counter("weightVersion") == 2);
    TestClient second = standIns.start(StandIns.Name.ENGINE, "weightLoadMillis", "5");

    String source = ",\"sourceHost\":\"127.0.0.1\",\"sourcePort\":" + first.port() + "}";
    second.send("POST", "/v1/orders", LOAD_VERSION_2.replace("}", source));

    standIns.advanceUntil(second, client -> client.counter("weightVersion") == 2);
  }

  @Test
  void failedLoadKeepsTheCurrentVersion() {
    TestClient engine = engineWithStore();
    engine.setFault("weightLoadFailure", 1);
    engine.send("POST", "/v1/orders", LOAD_VERSION_2);

    standIns.advanceUntil(engine, client -> client.counter("weightLoadFailures") == 1);

    assertThat(engine.counter("weightVersion")).isEqualTo(1);
  }

  @Test
  void loadReportLags() {
    TestClient engine =
        standIns.start(StandIns.Name.ENGINE, "loadLagMillis", "500", "weightLoadMillis", "5");
    engine.send("POST", "/v1/orders", LOAD_VERSION_2);
    standIns.advanceUntil(engine, client -> client.counter("weightVersion") == 2);
    assertThat(engine.get("/v1/load").path("weightVersion").asInt()).isEqualTo(1);

    standIns.advance(engine, 500);

    assertThat(engine.get("/v1/load").path("weightVersion").asInt()).isEqualTo(2);
  }

  private TestClient engineWithStore() {
    TestClient store = standIns.start(StandIns.Name.WEIGHTS);
    store.send("PUT", "/v1/weights/model/2", "weights");
    return standIns.start(
        StandIns.Name.ENGINE, "weightStore", "127.0.0.1:" + store.port(), "weightLoadMillis", "5");
  }

  private static String text(String body) {
    ImmutableList<String> texts =
        body.lines()
            .filter(line -> line.startsWith("data: {"))
            .map(line -> Json.parse(line.substring("data: ".length())))
            .map(chunk -> chunk.at("/choices/0/text").asText())
            .collect(ImmutableList.toImmutableList());
    return String.join("", texts);
  }
}
