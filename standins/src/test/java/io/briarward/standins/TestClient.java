package io.briarward.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.RunningStandIn;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/** Calls a stand-in and waits for the answer. */
public final class TestClient {
  private final HttpClient http = HttpClient.newHttpClient();
  private final RunningStandIn standIn;

  private TestClient(RunningStandIn standIn) {
    this.standIn = standIn;
  }

  /** Returns a client of the stand-in. */
  public static TestClient of(RunningStandIn standIn) {
    return new TestClient(standIn);
  }

  /** Sends a request with a body and headers given as names and values. */
  public HttpResponse<String> send(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + standIn.port() + path);
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri)
            .version(HttpClient.Version.HTTP_1_1)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Returns the status of a request. */
  public int status(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    return send(method, path, body, headers).statusCode();
  }

  /** Returns the JSON answer to a GET. */
  public JsonNode get(String path) throws IOException, InterruptedException {
    return Json.parse(send("GET", path, "").body());
  }

  /** Switches a fault. */
  public void fault(String name, double value) throws IOException, InterruptedException {
    send("POST", "/control/faults", "{\"name\":\"" + name + "\",\"value\":" + value + "}");
  }
}
