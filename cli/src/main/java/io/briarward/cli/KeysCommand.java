package io.briarward.cli;

import java.net.http.HttpRequest;
import org.kohsuke.args4j.Option;

/** Withdraws an API key. */
final class KeysCommand extends OperatorOptions implements Command {
  @Option(
      name = "--withdraw",
      required = true,
      metaVar = "ID",
      usage = "the id of the API key to withdraw")
  private String keyId = "";

  @Override
  public String summary() {
    return "withdraws an API key";
  }

  @Override
  public int run() throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder().POST(HttpRequest.BodyPublishers.noBody());
    System.out.println(send(request, "/v1/keys/" + keyId + "/withdraw"));
    return ExitCodes.OK;
  }
}
