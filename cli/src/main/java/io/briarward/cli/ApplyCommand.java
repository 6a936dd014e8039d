package io.briarward.cli;

import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.core.configuration.InvalidConfigurationException;
import java.net.http.HttpRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Submits a configuration. */
final class ApplyCommand extends OperatorOptions implements Command {
  @Argument(required = true, metaVar = "FILE", usage = "the configuration as JSON")
  private Path file;

  @Option(
      name = "--expected-version",
      required = true,
      metaVar = "N",
      usage = "the version that it replaces, 0 for the first")
  private long expectedVersion;

  @Override
  public String summary() {
    return "submits a configuration that replaces the expected version";
  }

  @Override
  public int run() throws Exception {
    Configuration configuration;
    try {
      configuration = ConfigurationCodec.parse(Files.readString(file));
    } catch (InvalidConfigurationException e) {
      System.err.println(file + ": " + e.getMessage());
      return ExitCodes.INVALID;
    }
    HttpRequest.Builder request =
        HttpRequest.newBuilder()
            .header("If-Match", "\"" + expectedVersion + "\"")
            .PUT(HttpRequest.BodyPublishers.ofString(ConfigurationCodec.print(configuration)));
    System.out.println(send(request, "/v1/configuration"));
    return ExitCodes.OK;
  }
}
