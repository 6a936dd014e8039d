package io.briarward.operator.examples;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Prints the example configurations to files. */
public final class ExamplePrinter {
  private ExamplePrinter() {}

  /** Writes each example to the directory named by the first argument. */
  public static void main(String[] args) throws IOException {
    Path directory = Path.of(args[0]);
    for (var file : files().entrySet()) {
      Files.writeString(directory.resolve(file.getKey()), file.getValue());
    }
  }

  /** Returns the content of each file by its name. */
  static ImmutableMap<String, String> files() {
    return ImmutableMap.of(
        "tube-mill.json", print(TubeMill.configuration()),
        "coatings.json", print(Coatings.configuration()));
  }

  private static String print(Configuration configuration) {
    return ConfigurationCodec.print(configuration) + "\n";
  }
}
