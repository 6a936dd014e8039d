package io.briarward.operator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.core.configuration.InvalidConfigurationException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

class ConfigurationBuilderTest {
  private final ConfigurationBuilder builder =
      ConfigurationBuilder.create()
          .dataCentre("nadi")
          .partner("vatuwaqa", partner -> partner.reclaimableShare(0.5))
          .organisation("mill", mill -> mill.partner("vatuwaqa"));

  @Test
  void outOfRangeFieldIsReportedWithItsPath() {
    assertThat(
            rejectedPath(
                () -> builder.organisation("b", each -> each.partner("vatuwaqa").weight(-1))))
        .isEqualTo("organisations[1].weight");
  }

  @Test
  void invalidUpstreamFieldIsReportedWithItsPath() {
    assertThat(
            rejectedPath(
                () ->
                    builder.modelService(
                        "llm",
                        service ->
                            service.upstream(
                                "u", upstream -> upstream.dataCentre("nadi").address("::1", -1)))))
        .isEqualTo("services[0].upstreams[0].port");
  }

  @Test
  void referenceToUnknownPartIsReportedWithThePathOfTheReference() {
    assertThat(rejectedPath(() -> builder.route("/v1", route -> route.to("llm"))))
        .isEqualTo("routes[0].service");
  }

  @Test
  void duplicateIdIsRejected() {
    assertThat(rejectedPath(() -> builder.organisation("mill", mill -> mill.partner("vatuwaqa"))))
        .isEqualTo("organisations[1]");
  }

  @Test
  void rejectedPartLeavesTheBuilderUnchanged() {
    String before = builder.print();

    rejectedPath(() -> builder.key("k", key -> key.organisation("other").secret("s").mayCall()));

    assertThat(builder.print()).isEqualTo(before);
  }

  @Test
  void printedConfigurationParsesToAnEqualConfiguration() {
    assertThat(ConfigurationCodec.parse(builder.print())).isEqualTo(builder.build());
  }

  private static String rejectedPath(Executable call) {
    return assertThrows(InvalidConfigurationException.class, call).path();
  }
}
