package io.briarward.node.gateway;

import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamNotice;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.util.Optional;

/** Encodes live requests to upstreams and classifies the responses. */
public interface UpstreamProtocol {
  /** The classification of a response by its status and headers. */
  enum AnswerKind {
    /** The upstream ran the request; this is its response. */
    ANSWER,
    /** The upstream has not run the request and will not run it later. */
    NOT_RUN,
    /** The response belongs to another request, so the connection must not be reused. */
    FOREIGN
  }

  /**
   * Writes the headers of a request to an upstream.
   *
   * @param remainingMillis the time until the deadline of the call, in milliseconds
   */
  void writeHeaders(
      HttpClientRequest request, LiveCall call, UpstreamEntry upstream, long remainingMillis);

  /**
   * Returns what a response says about the upstream to which the request was sent, or empty if
   * another upstream sent it.
   */
  Optional<UpstreamNotice> notice(HttpClientResponse response);

  /** Classifies a response by its status and headers. */
  AnswerKind classify(HttpClientResponse response, LiveCall call);
}
