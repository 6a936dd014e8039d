package io.briarward.cli;

import com.google.common.net.HostAndPort;
import io.briarward.node.settings.HostAndPortHandler;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.kohsuke.args4j.Option;

/** The flags of commands that talk to a node's operator port, and the requests they send. */
abstract class OperatorOptions {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int FIRST_ERROR_STATUS = 400;

  @Option(
      name = "--operator-address",
      metaVar = "IP:PORT",
      handler = HostAndPortHandler.class,
      usage = "a node's operator port")
  private HostAndPort address = HostAndPort.fromParts("127.0.0.1", 8081);

  @Option(name = "--operator-token", metaVar = "TOKEN", usage = "the operators' token")
  private String token = "";

  /**
   * Sends a request and returns the body of its answer.
   *
   * @throws DaemonException when the node refuses it or cannot be reached
   */
  String send(HttpRequest.Builder request, String path) throws InterruptedException {
    HttpRequest whole =
        request
            .uri(URI.create("http://" + address + path))
            .timeout(TIMEOUT)
            .header("Authorization", "Bearer " + token)
            .build();
    HttpResponse<String> answer;
    try {
      answer = HttpClient.newHttpClient().send(whole, HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new DaemonException(
          ExitCodes.UNREACHABLE, "no answer from " + address + ": " + e.getMessage());
    }
    if (answer.statusCode() >= FIRST_ERROR_STATUS) {
      throw new DaemonException(ExitCodes.FAILED, answer.body());
    }
    return answer.body();
  }
}
