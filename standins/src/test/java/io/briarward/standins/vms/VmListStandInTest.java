package io.briarward.standins.vms;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.standins.StandIns;
import io.briarward.standins.testing.StandInExtension;
import io.briarward.standins.testing.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class VmListStandInTest {
  @RegisterExtension final StandInExtension standIns = new StandInExtension();

  @Test
  void listIsServedWithLag() {
    TestClient vms = standIns.start(StandIns.Name.VMS, "lagMillis", "2000");
    standIns.advance(vms, 5_000);
    vms.send("PUT", "/control/vms", "{\"vms\":[{\"id\":\"vm-1\"}]}");

    standIns.advance(vms, 1_999);
    assertThat(vms.get("/v1/vms").path("vms")).isEmpty();
    standIns.advance(vms, 1);
    assertThat(vms.get("/v1/vms").path("vms")).hasSize(1);
  }
}
