package io.briarward.standins.weights;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.standins.StandIns;
import io.briarward.standins.testing.StandInExtension;
import io.briarward.standins.testing.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class WeightStandInTest {
  @RegisterExtension final StandInExtension standIns = new StandInExtension();

  @Test
  void readsAboveTheRateAreRejected() {
    TestClient weights = standIns.start(StandIns.Name.WEIGHTS, "readsPerSecond", "1");
    weights.send("PUT", "/v1/weights/model/1", "bytes");

    assertThat(weights.send("GET", "/v1/weights/model/1", "").body()).isEqualTo("bytes");
    assertThat(weights.send("GET", "/v1/weights/model/1", "").status()).isEqualTo(429);
  }
}
