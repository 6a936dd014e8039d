package io.briarward.cli;

import java.net.http.HttpRequest;

/** Prints the status of a node. */
final class StatusCommand extends OperatorOptions implements Command {
  @Override
  public String summary() {
    return "prints the status of a node";
  }

  @Override
  public int run() throws Exception {
    System.out.println(send(HttpRequest.newBuilder().GET(), "/v1/status"));
    return ExitCodes.OK;
  }
}
