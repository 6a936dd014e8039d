package io.briarward.standins.plain;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.standins.StandIns;
import io.briarward.standins.testing.StandInExtension;
import io.briarward.standins.testing.TestClient;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class PlainStandInTest {
  @RegisterExtension final StandInExtension standIns = new StandInExtension();

  @Test
  void responseDescribesTheRequest() {
    TestClient plain = standIns.start(StandIns.Name.PLAIN);

    TestClient.Reply reply = standIns.send(plain, "POST", "/orders?x=1", "body");

    assertThat(reply.json().path("path").asText()).isEqualTo("/orders?x=1");
    assertThat(reply.json().path("body").asText()).isEqualTo("body");
    assertThat(reply.json().path("execution").asInt()).isEqualTo(1);
  }

  @Test
  void requestsThatRanTwiceAreCounted() {
    TestClient plain = standIns.start(StandIns.Name.PLAIN);
    standIns.send(plain, "POST", "/orders", "x", "Idempotency-Key", "k");
    standIns.send(plain, "POST", "/orders", "x", "Idempotency-Key", "k");

    assertThat(plain.counter("requestsRunTwice")).isEqualTo(1);
  }

  @Test
  void requestsAboveTheLimitAreQueued() {
    TestClient plain =
        standIns.start(StandIns.Name.PLAIN, "maxConcurrent", "1", "workMillis", "50");
    final var first = CompletableFuture.supplyAsync(() -> plain.send("GET", "/a", ""));
    final var second = CompletableFuture.supplyAsync(() -> plain.send("GET", "/b", ""));
    awaitRequests(plain, 2);
    assertThat(plain.get("/v1/load").path("queued").asInt()).isEqualTo(1);

    standIns.advance(plain, 50);
    standIns.advance(plain, 50);

    assertThat(first.join().status()).isEqualTo(200);
    assertThat(second.join().status()).isEqualTo(200);
  }

  private static void awaitRequests(TestClient plain, int requests) {
    while (plain.counter("requests") < requests) {
      Thread.onSpinWait();
    }
  }
}
