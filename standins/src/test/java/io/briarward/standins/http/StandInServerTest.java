package io.briarward.standins.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.briarward.standins.StandIns;
import io.briarward.standins.testing.StandInRule;
import io.briarward.standins.testing.TestClient;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class StandInServerTest {
  private static final String OBJECT = "/v1/objects/a";

  @RegisterExtension final StandInRule rule = new StandInRule();

  @Test
  void operationWhoseAnswerIsLostTookEffect() {
    TestClient objects = rule.start(StandIns.Name.OBJECTS);
    objects.fault("answerLostShare", 1);
    assertThrows(UncheckedIOException.class, () -> objects.send("PUT", OBJECT, "x"));

    objects.fault("answerLostShare", 0);

    assertThat(objects.send("GET", OBJECT, "").status()).isEqualTo(200);
  }

  @Test
  void operationWhoseRequestIsLostTakesNoEffect() {
    TestClient objects = rule.start(StandIns.Name.OBJECTS);
    objects.fault("requestLostShare", 1);
    assertThrows(UncheckedIOException.class, () -> objects.send("PUT", OBJECT, "x"));

    objects.fault("requestLostShare", 0);

    assertThat(objects.send("GET", OBJECT, "").status()).isEqualTo(404);
  }

  @Test
  void operationDuringOutageTakesNoEffect() {
    TestClient objects = rule.start(StandIns.Name.OBJECTS);
    objects.fault("outage", 1);
    assertThat(objects.send("PUT", OBJECT, "x").status()).isEqualTo(503);

    objects.fault("outage", 0);

    assertThat(objects.send("GET", OBJECT, "").status()).isEqualTo(404);
  }

  @Test
  void delayedOperationTakesEffectAfterItsDelay() {
    TestClient objects = rule.start(StandIns.Name.OBJECTS);
    objects.fault("delayMillis", 100);
    final var reply = CompletableFuture.supplyAsync(() -> objects.send("PUT", OBJECT, "x"));
    rule.advanceUntil(objects, client -> client.counter("requests") == 1);
    assertThat(objects.counter("objects")).isEqualTo(0);

    rule.advance(objects, 100);

    assertThat(reply.join().status()).isEqualTo(201);
  }

  @Test
  void unsupportedFaultIsRefused() {
    TestClient objects = rule.start(StandIns.Name.OBJECTS);

    String body = "{\"name\":\"noCapacity\",\"value\":1}";

    assertThat(objects.send("POST", "/control/faults", body).status()).isEqualTo(400);
  }

  @Test
  void requestsWithCredentialsAreCounted() {
    TestClient objects = rule.start(StandIns.Name.OBJECTS, "secrets", "s3cret");
    objects.send("GET", "/v1/objects/a?key=s3cret", "", "Authorization", "Bearer other");
    objects.send("GET", OBJECT, "");

    assertThat(objects.counter("authorizationHeaders")).isEqualTo(1);
    assertThat(objects.counter("requestsWithSecret")).isEqualTo(1);
  }

  @Test
  void crashedStandInIsDownForItsTime() {
    TestClient objects = rule.start(StandIns.Name.OBJECTS);
    objects.fault("crashMillis", 100);
    assertThrows(UncheckedIOException.class, () -> objects.send("GET", OBJECT, ""));

    rule.advanceTime(100);

    assertThat(objects.send("GET", OBJECT, "").status()).isEqualTo(404);
  }
}
