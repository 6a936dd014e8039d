package io.briarward.cli;

import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.core.configuration.InvalidConfigurationException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;

/** Validates a configuration file without contacting a node. */
final class CheckCommand implements Command {
  @Argument(required = true, metaVar = "FILE", usage = "the configuration as JSON")
  private Path file;

  @Override
  public String summary() {
    return "validates a configuration file";
  }

  @Override
  public int run() throws Exception {
    try {
      Configuration configuration = ConfigurationCodec.parse(Files.readString(file));
      System.out.printf(
          "%s: %d organisations, %d keys, %d services, %d routes%n",
          file,
          configuration.organisations().size(),
          configuration.keys().size(),
          configuration.services().size(),
          configuration.routes().size());
      return ExitCodes.OK;
    } catch (InvalidConfigurationException e) {
      System.err.println(file + ": " + e.getMessage());
      return ExitCodes.INVALID;
    }
  }
}
