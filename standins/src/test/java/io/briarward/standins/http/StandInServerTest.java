package io.briarward.standins.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.briarward.standins.StandIns;
import io.briarward.standins.testing.StandInExtension;
import io.briarward.standins.testing.TestClient;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class StandInServerTest {
  private static final String OBJECT_PATH = "/v1/objects/a";

  @RegisterExtension final StandInExtension standIns = new StandInExtension();

  @Test
  void operationWithLostResponseTakesEffect() {
    TestClient objects = standIns.start(StandIns.Name.OBJECTS);
    objects.setFault("answerLostShare", 1);
    assertThrows(UncheckedIOException.class, () -> objects.send("PUT", OBJECT_PATH, "x"));

    objects.setFault("answerLostShare", 0);

    assertThat(objects.send("GET", OBJECT_PATH, "").status()).isEqualTo(200);
  }

  @Test
  void operationWithLostRequestTakesNoEffect() {
    TestClient objects = standIns.start(StandIns.Name.OBJECTS);
    objects.setFault("requestLostShare", 1);
    assertThrows(UncheckedIOException.class, () -> objects.send("PUT", OBJECT_PATH, "x"));

    objects.setFault("requestLostShare", 0);

    assertThat(objects.send("GET", OBJECT_PATH, "").status()).isEqualTo(404);
  }

  @Test
  void operationDuringOutageTakesNoEffect() {
    TestClient objects = standIns.start(StandIns.Name.OBJECTS);
    objects.setFault("outage", 1);
    assertThat(objects.send("PUT", OBJECT_PATH, "x").status()).isEqualTo(503);

    objects.setFault("outage", 0);

    assertThat(objects.send("GET", OBJECT_PATH, "").status()).isEqualTo(404);
  }

  @Test
  void delayedOperationTakesEffectAfterItsDelay() {
    TestClient objects = standIns.start(StandIns.Name.OBJECTS);
    objects.setFault("delayMillis", 100);
    final var reply = CompletableFuture.supplyAsync(() -> objects.send("PUT", OBJECT_PATH, "x"));
    standIns.advanceUntil(objects, client -> client.counter("requests") == 1);
    assertThat(objects.counter("objects")).isEqualTo(0);

    standIns.advance(objects, 100);

    assertThat(reply.join().status()).isEqualTo(201);
  }

  @Test
  void unsupportedFaultIsRejected() {
    TestClient objects = standIns.start(StandIns.Name.OBJECTS);

    String body = "{\"name\":\"noCapacity\",\"value\":1}";

    assertThat(objects.send("POST", "/control/faults", body).status()).isEqualTo(400);
  }

  @Test
  void requestsWithCredentialsAreCounted() {
    TestClient objects = standIns.start(StandIns.Name.OBJECTS, "secrets", "s3cret");
    objects.send("GET", "/v1/objects/a?key=s3cret", "", "Authorization", "Bearer other");
    objects.send("GET", OBJECT_PATH, "");

    assertThat(objects.counter("authorizationHeaders")).isEqualTo(1);
    assertThat(objects.counter("requestsWithSecret")).isEqualTo(1);
  }

  @Test
  void crashedStandInIsDownForTheGivenDuration() {
    TestClient objects = standIns.start(StandIns.Name.OBJECTS);
    objects.setFault("crashMillis", 100);
    assertThrows(UncheckedIOException.class, () -> objects.send("GET", OBJECT_PATH, ""));

    standIns.advanceTime(100);

    assertThat(objects.send("GET", OBJECT_PATH, "").status()).isEqualTo(404);
  }
}
