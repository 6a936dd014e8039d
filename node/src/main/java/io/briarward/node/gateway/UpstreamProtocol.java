package io.briarward.node.gateway;

import io.briarward.core.fleet.UpstreamEntry;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;

/** What live requests to upstreams and their answers look like. */
public interface UpstreamProtocol {
  /** What an answer's head says of the request. */
  enum AnswerKind {
    /** The upstream ran the request, and this is its answer. */
    ANSWER,
    /** The upstream did not run the request and never will. */
    NOT_RUN,
    /** The answer belongs to another request, so the connection cannot be trusted. */
    FOREIGN
  }

  /** Writes the headers of a request to an upstream that has {@code leftMillis} for it. */
  void writeHeaders(
      HttpClientRequest request, LiveCall call, UpstreamEntry upstream, long leftMillis);

  /** Classifies an answer by its head. */
  AnswerKind classify(HttpClientResponse response, LiveCall call);
}
