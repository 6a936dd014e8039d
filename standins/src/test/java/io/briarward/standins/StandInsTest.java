package io.briarward.standins;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import io.briarward.standins.http.RunningStandIn;
import io.briarward.standins.testing.StandInExtension;
import io.briarward.standins.testing.TestClient;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class StandInsTest {
  @RegisterExtension final StandInExtension standIns = new StandInExtension();

  @Test
  void everyStandInServesItsControlEndpoints() {
    for (StandIns.Name name : StandIns.Name.values()) {
      TestClient client = standIns.start(name);

      assertThat(client.send("GET", "/livez", "").status()).isEqualTo(200);
      assertThat(client.counter("requests")).isEqualTo(0);
      assertThat(client.get("/control/faults").has("answerLostShare")).isTrue();
    }
  }

  @Test
  void unknownOptionIsRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> standIns.start(StandIns.Name.PLAIN, "batchLimit", "1"));
  }

  @Test
  void systemClockTimesCountFromTheEpochEvenIfTheSchedulerClockIsMonotonic() throws Exception {
    long beforeMillis = System.currentTimeMillis();
    Vertx vertx = Vertx.vertx();
    try (RunningStandIn vms =
        StandIns.start(StandIns.Name.VMS, vertx, "127.0.0.1", 0, ImmutableMap.of("lagMillis", "0"))
            .blockingGet()) {
      TestClient client = TestClient.of(vms.port());

      assertThat(client.get("/v1/vms").path("asOfMillis").asLong()).isAtLeast(beforeMillis);
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }
}
