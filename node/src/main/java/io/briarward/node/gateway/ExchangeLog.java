package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import io.briarward.core.fleet.UpstreamEntry;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.OptionalInt;

/** Logs and counts what happens to one live request. Confined to the event loop. */
final class ExchangeLog {
  private final LiveForwarder.Context context;
  private final HttpServerRequest downstream;
  private final LiveCall call;
  private OptionalInt upstreamStatus = OptionalInt.empty();

  ExchangeLog(LiveForwarder.Context context, HttpServerRequest downstream, LiveCall call) {
    this.context = checkNotNull(context, "context");
    this.downstream = checkNotNull(downstream, "downstream");
    this.call = checkNotNull(call, "call");
  }

  /** Records the status of the response that is relayed to the caller; the last one counts. */
  void relaying(int status) {
    upstreamStatus = OptionalInt.of(status);
  }

  /**
   * Logs an attempt at an upstream that failed.
   *
   * @param number the number of the attempt, 0 if it was not sent
   * @param fingerprint identifies repeats of the request if the upstream may have ended under it;
   *     empty otherwise
   */
  void attempt(
      UpstreamEntry upstream, int number, String outcome, String cause, String fingerprint) {
    context
        .log()
        .info(
            "attempt",
            "id",
            call.id(),
            "upstream",
            upstream.id(),
            "attempt",
            number,
            "outcome",
            outcome,
            "cause",
            cause,
            "fingerprint",
            fingerprint);
  }

  /** Logs an attempt at another node that failed. */
  void relay(HostAndPort node, String service, String outcome, String cause) {
    context
        .log()
        .info(
            "relay", "id", call.id(), "service", service, "node", node, "outcome", outcome, "cause",
            cause);
  }

  /**
   * Logs the end of the request.
   *
   * @param target the upstream or the node that responded or was asked last, or {@code none}
   * @param lastUpstream the upstream to which this node sent the request last
   */
  void finished(
      String service,
      String target,
      Optional<UpstreamEntry> lastUpstream,
      String outcome,
      String cause,
      int attempts,
      int rejections) {
    long tookMillis = context.nowMillis() - call.arrivedAtMillis();
    context.metrics().requestFinished(service, outcome, tookMillis / 1e3);
    context
        .log()
        .info(
            "request",
            "id",
            call.id(),
            "route",
            call.route().name(),
            "service",
            service,
            "relayed",
            call.relayed(),
            "upstream",
            target,
            "software",
            lastUpstream.map(UpstreamEntry::softwareVersion).orElse("none"),
            "resumes",
            call.resumption().flatMap(LiveCall.Resumption::firstRequestId).orElse("none"),
            "resumesAfter",
            call.resumption().map(LiveCall.Resumption::lastEventId).orElse("none"),
            "outcome",
            outcome,
            "status",
            downstream.response().getStatusCode(),
            "upstreamStatus",
            upstreamStatus.isPresent() ? upstreamStatus.getAsInt() : "none",
            "cause",
            cause,
            "attempts",
            attempts,
            "refusals",
            rejections,
            "tookMillis",
            tookMillis,
            "leftMillis",
            call.deadlineMillis() - context.nowMillis());
  }
}
