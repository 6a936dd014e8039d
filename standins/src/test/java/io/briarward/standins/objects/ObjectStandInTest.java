package io.briarward.standins.objects;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.standins.StandIns;
import io.briarward.standins.testing.StandInExtension;
import io.briarward.standins.testing.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class ObjectStandInTest {
  @RegisterExtension final StandInExtension standIns = new StandInExtension();

  @Test
  void conditionalPutDoesNotReplaceExistingObject() {
    TestClient objects = standIns.start(StandIns.Name.OBJECTS);
    objects.send("PUT", "/v1/objects/a/b", "one", "If-None-Match", "*");

    TestClient.Reply second = objects.send("PUT", "/v1/objects/a/b", "two", "If-None-Match", "*");

    assertThat(second.status()).isEqualTo(412);
    assertThat(objects.send("GET", "/v1/objects/a/b", "").body()).isEqualTo("one");
  }
}
