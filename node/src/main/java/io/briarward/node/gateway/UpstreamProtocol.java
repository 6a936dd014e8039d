package io.briarward.node.gateway;

import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamNotice;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
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
   * Writes the headers of a request that another node is to run on behalf of the caller.
   *
   * @param downstream the caller's request, whose key the other node checks
   * @param maxAttempts the maximum number of upstreams on which the other node may run the request
   * @param remainingMillis the time until the deadline of the call, in milliseconds
   */
  void writeRelayHeaders(
      HttpClientRequest request,
      HttpServerRequest downstream,
      LiveCall call,
      int maxAttempts,
      long remainingMillis);

  /**
   * Classifies the response of another node: {@link AnswerKind#ANSWER} if an upstream sent it,
   * {@link AnswerKind#FOREIGN} if it does not tell whether the request ran.
   */
  AnswerKind classifyRelayed(HttpClientResponse response, LiveCall call);

  /**
   * Returns what a response says about the upstream to which the request was sent, or empty if
   * another upstream sent it.
   */
  Optional<UpstreamNotice> notice(HttpClientResponse response);

  /** Classifies a response by its status and headers. */
  AnswerKind classify(HttpClientResponse response, LiveCall call);
}
