package io.briarward.standins.vms;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.standins.StandIns;
import io.briarward.standins.testing.StandInRule;
import io.briarward.standins.testing.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class VmListStandInTest {
  @RegisterExtension final StandInRule rule = new StandInRule();

  @Test
  void listLags() {
    TestClient vms = rule.start(StandIns.Name.VMS, "lagMillis", "2000");
    rule.advance(vms, 5_000);
    vms.send("PUT", "/control/vms", "{\"vms\":[{\"id\":\"vm-1\"}]}");

    rule.advance(vms, 1_999);
    assertThat(vms.get("/v1/vms").path("vms")).isEmpty();
    rule.advance(vms, 1);
    assertThat(vms.get("/v1/vms").path("vms")).hasSize(1);
  }
}
