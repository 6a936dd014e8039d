package io.briarward.core.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class ConfigurationCodecTest {
  @Test
  void printedConfigurationParsesToEqualConfiguration() {
    Configuration parsed =
        ConfigurationCodec.parse(
            "{\"dataCentres\":[\"nadi\"],\"partners\":[{\"id\":\"p\",\"reclaimableShare\":0.5}]}");

    assertThat(ConfigurationCodec.parse(ConfigurationCodec.print(parsed))).isEqualTo(parsed);
  }

  @Test
  void unknownFieldIsRejectedWithItsName() {
    InvalidConfigurationException e =
        assertThrows(
            InvalidConfigurationException.class,
            () -> ConfigurationCodec.parse("{\"dataCenters\":[]}"));

    assertThat(e.path()).isEqualTo("dataCenters");
  }

  @Test
  void invalidNestedFieldIsRejectedWithItsPath() {
    InvalidConfigurationException e =
        assertThrows(
            InvalidConfigurationException.class,
            () ->
                ConfigurationCodec.parse(
                    "{\"partners\":[{\"id\":\"p\",\"reclaimableShare\":1.5}]}"));

    assertThat(e.path()).isEqualTo("partners[0].reclaimableShare");
  }
}
