package io.briarward.standins.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.http.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/** A blocking HTTP client for a stand-in. */
public final class TestClient {
  private final HttpClient http = HttpClient.newHttpClient();
  private final int port;

  private TestClient(int port) {
    this.port = port;
  }

  /**
   * A response.
   *
   * @param status the HTTP status code
   * @param body the complete body
   */
  public record Reply(int status, String body) {
    /** Returns the body as JSON. */
    public JsonNode json() {
      return Json.parse(body);
    }
  }

  /** Returns a client for the stand-in that listens on the port. */
  public static TestClient of(int port) {
    return new TestClient(port);
  }

  /** Returns the port of the stand-in. */
  public int port() {
    return port;
  }

  /**
   * Sends a request with a body and headers given as alternating names and values.
   *
   * @throws UncheckedIOException if the connection is closed before the response is complete
   */
  public Reply send(String method, String path, String body, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .version(HttpClient.Version.HTTP_1_1)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    try {
      HttpResponse<String> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Reply(response.statusCode(), response.body());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sends a GET request and returns the JSON body of the response. */
  public JsonNode get(String path) {
    return send("GET", path, "").json();
  }

  /** Returns a number from the stand-in's state, or -1 if the field is absent. */
  public long counter(String field) {
    return get("/control/state").path(field).asLong(-1);
  }

  /** Sets the value of a fault; 0 switches it off. */
  public void setFault(String name, double value) {
    setFault(name, value, "");
  }

  /** Sets the value of a fault in a data centre, or in all if the string is empty. */
  public void setFault(String name, double value, String dataCentre) {
    ObjectNode body = Json.object().put("name", name).put("value", value);
    send("POST", "/control/faults", body.put("dataCentre", dataCentre).toString());
  }
}
