package io.briarward.standins.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;

/** Counts requests that contain credentials. Confined to the stand-in's event loop. */
final class CredentialCounter {
  private final ImmutableList<String> secrets;
  private long requests;
  private long authorizationHeaders;
  private long requestsWithSecret;

  CredentialCounter(ImmutableList<String> secrets) {
    this.secrets = secrets;
  }

  void record(HttpServerRequest request, String body) {
    requests++;
    if (request.headers().contains("Authorization")) {
      authorizationHeaders++;
    }
    if (secrets.stream().anyMatch(secret -> contains(request, body, secret))) {
      requestsWithSecret++;
    }
  }

  void addCounters(ObjectNode state) {
    state.put("requests", requests);
    state.put("authorizationHeaders", authorizationHeaders);
    state.put("requestsWithSecret", requestsWithSecret);
  }

  private static boolean contains(HttpServerRequest request, String body, String secret) {
    return request.uri().contains(secret)
        || body.contains(secret)
        || request.headers().entries().stream()
            .map(Map.Entry::getValue)
            .anyMatch(value -> value.contains(secret));
  }
}
