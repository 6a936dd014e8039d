package io.briarward.node.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ObjectArrays;
import org.junit.jupiter.api.Test;
import org.kohsuke.args4j.Argument;

class NodeSettingsTest {
  private static final String[] REQUIRED = {
    "--vm-id", "vm-1",
    "--data-centre", "nadi",
    "--operator-token-sha256", "0".repeat(64),
    "--table-service", "127.0.0.1:1",
    "--object-store", "127.0.0.1:2",
    "--upstream-orders", "127.0.0.1:3",
    "--report-sink", "127.0.0.1:4",
    "--vm-list", "127.0.0.1:5"
  };

  @Test
  void environmentVariableSetsFlagThatIsNotGiven() {
    assertThat(parse(ImmutableMap.of("BRIARWARD_HTTP_PORT", "9000")).httpPort()).isEqualTo(9000);
  }

  @Test
  void flagTakesPrecedenceOverItsEnvironmentVariable() {
    ImmutableMap<String, String> environment = ImmutableMap.of("BRIARWARD_HTTP_PORT", "9000");

    assertThat(parse(environment, "--http-port", "9001").httpPort()).isEqualTo(9001);
  }

  @Test
  void messageNamesFlagInvalidValueAndExpectedValues() {
    SettingsException e =
        assertThrows(
            SettingsException.class,
            () -> parse(ImmutableMap.of(), "--max-concurrent", "0").check());

    assertThat(e).hasMessageThat().isEqualTo("--max-concurrent is 0, expected > 0");
  }

  @Test
  void hostNameIsRejectedWhereIpAddressIsRequired() {
    SettingsException e =
        assertThrows(
            SettingsException.class,
            () -> parse(ImmutableMap.of(), "--report-sink", "reports.example:80"));

    assertThat(e).hasMessageThat().contains("reports.example:80");
  }

  private static NodeSettings parse(ImmutableMap<String, String> environment, String... more) {
    return SettingsParser.parse(
        new NodeSettings(), environment, ObjectArrays.concat(REQUIRED, more, String.class));
  }

  private static final class WithoutOptions {}

  private static final class WithArgument {
    @Argument(required = true)
    private String name;
  }

  @Test
  void beanWithoutOptionsAcceptsNoArgument() {
    WithoutOptions bean = new WithoutOptions();
    assertThat(SettingsParser.parse(bean, ImmutableMap.of())).isSameInstanceAs(bean);
    assertThrows(
        SettingsException.class, () -> SettingsParser.parse(bean, ImmutableMap.of(), "--none"));
  }

  /** Beans without options are not parsed; one with an argument must be. */
  @Test
  void missingArgumentIsRejected() {
    assertThrows(
        SettingsException.class, () -> SettingsParser.parse(new WithArgument(), ImmutableMap.of()));
    WithArgument bean = SettingsParser.parse(new WithArgument(), ImmutableMap.of(), "a");
    assertThat(bean.name).isEqualTo("a");
  }
}
