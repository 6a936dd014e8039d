package io.briarward.node.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.core.distribution.ConfigurationDocument;
import io.briarward.core.distribution.ConfigurationMessage;
import io.briarward.core.membership.Digest;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConfigurationMessageCodecTest {
  @Test
  void contentWithDeltaAndWholeDocumentRoundTrips() {
    Configuration next = ConfigurationCodec.parse("{\"dataCentres\": [\"nadi\"]}");
    ConfigurationMessage message =
        new ConfigurationMessage(
            ConfigurationMessage.Kind.CONTENT,
            new Digest(1, Optional.of(250L), true),
            Digest.NO_VERSION,
            ImmutableList.of(ConfigurationDocument.empty().deltaTo(next)),
            Optional.of(new ConfigurationMessage.WholeDocument(1, "{}", "00")));

    assertThat(ConfigurationMessageCodec.decode(ConfigurationMessageCodec.encode(message)))
        .isEqualTo(message);
  }
}
