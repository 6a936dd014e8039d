package io.briarward.standins.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;

/** Counts requests that carry credentials. Confined to the stand-in's event loop. */
final class SeenSecrets {
  private final ImmutableList<String> secrets;
  private long requests;
  private long authorizationHeaders;
  private long requestsWithSecret;

  SeenSecrets(ImmutableList<String> secrets) {
    this.secrets = secrets;
  }

  void record(HttpServerRequest request, String body) {
    requests++;
    if (request.headers().contains("Authorization")) {
      authorizationHeaders++;
    }
    if (secrets.stream().anyMatch(secret -> carries(request, body, secret))) {
      requestsWithSecret++;
    }
  }

  void describe(ObjectNode state) {
    state.put("requests", requests);
    state.put("authorizationHeaders", authorizationHeaders);
    state.put("requestsWithSecret", requestsWithSecret);
  }

  private static boolean carries(HttpServerRequest request, String body, String secret) {
    return request.uri().contains(secret)
        || body.contains(secret)
        || request.headers().entries().stream()
            .map(Map.Entry::getValue)
            .anyMatch(value -> value.contains(secret));
  }
}
