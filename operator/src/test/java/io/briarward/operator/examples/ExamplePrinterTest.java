package io.briarward.operator.examples;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class ExamplePrinterTest {
  private static final Path DIRECTORY = Path.of("..", "examples");

  @Test
  void committedFilesAreUpToDate() throws IOException {
    for (var file : ExamplePrinter.contentsByFileName().entrySet()) {
      assertThat(Files.readString(DIRECTORY.resolve(file.getKey()))).isEqualTo(file.getValue());
    }
  }

  @Test
  void bothExamplesHaveEightOrganisations() {
    for (String json : ExamplePrinter.contentsByFileName().values()) {
      Configuration configuration = ConfigurationCodec.parse(json);

      assertThat(configuration.organisations()).hasSize(8);
    }
  }
}
