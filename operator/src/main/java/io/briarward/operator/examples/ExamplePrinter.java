package io.briarward.operator.examples;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the example configurations to files. */
public final class ExamplePrinter {
  private ExamplePrinter() {}

  /** Writes each example to the directory that the first argument names. */
  public static void main(String[] args) throws IOException {
    Path directory = Path.of(args[0]);
    for (var file : contentsByFileName().entrySet()) {
      Files.writeString(directory.resolve(file.getKey()), file.getValue());
    }
  }

  /** Returns the contents of the files, keyed by file name. */
  static ImmutableMap<String, String> contentsByFileName() {
    return ImmutableMap.of(
        "tube-mill.json", print(TubeMill.configuration()),
        "coatings.json", print(Coatings.configuration()));
  }

  private static String print(Configuration configuration) {
    return ConfigurationCodec.print(configuration) + "\n";
  }
}
