package io.briarward.cli;

import java.net.http.HttpRequest;

/** Prints the configuration in effect. */
final class GetCommand extends OperatorOptions implements Command {
  @Override
  public String summary() {
    return "prints the configuration and its version";
  }

  @Override
  public int run() throws Exception {
    System.out.println(send(HttpRequest.newBuilder().GET(), "/v1/configuration"));
    return ExitCodes.OK;
  }
}
