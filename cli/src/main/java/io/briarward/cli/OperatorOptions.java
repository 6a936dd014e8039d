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

/** The flags of commands that send requests to a node's operator port. */
abstract class OperatorOptions {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final int FIRST_ERROR_STATUS = 400;

  @Option(
      name = "--operator-address",
      metaVar = "IP:PORT",
      handler = HostAndPortHandler.class,
      usage = "the address of a node's operator port")
  private HostAndPort address = HostAndPort.fromParts("127.0.0.1", 8081);

  @Option(name = "--operator-token", metaVar = "TOKEN", usage = "the operators' token")
  private String token = "";

  /**
   * Sends a request and returns the body of the response.
   *
   * @throws NodeRequestException if the node rejects the request or cannot be reached
   */
  String send(HttpRequest.Builder request, String path) throws InterruptedException {
    HttpRequest completeRequest =
        request
            .uri(URI.create("http://" + address + path))
            .timeout(REQUEST_TIMEOUT)
            .header("Authorization", "Bearer " + token)
            .build();
    HttpResponse<String> response;
    try {
      response =
          HttpClient.newHttpClient().send(completeRequest, HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new NodeRequestException(
          ExitCodes.UNREACHABLE, "no response from " + address + ": " + e.getMessage());
    }
    if (response.statusCode() >= FIRST_ERROR_STATUS) {
      throw new NodeRequestException(ExitCodes.FAILED, response.body());
    }
    return response.body();
  }
}
