package io.briarward.node.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.telemetry.RepeatedErrors;

/**
 * Writes the log lines about the load of upstreams, at most one of a kind per upstream and
 * interval.
 *
 * <p>Confined to the event loop.
 */
final class PaceLog {
  private static final long INTERVAL_MILLIS = 10_000;

  private final EventLog log;
  private final RepeatedErrors invalidLoads = RepeatedErrors.withInterval(INTERVAL_MILLIS);
  private final RepeatedErrors shrunkWindows = RepeatedErrors.withInterval(INTERVAL_MILLIS);
  private final RepeatedErrors fullWindows = RepeatedErrors.withInterval(INTERVAL_MILLIS);

  PaceLog(EventLog log) {
    this.log = checkNotNull(log, "log");
  }

  /** Handles a response with a load that cannot be read. */
  void onInvalidLoad(UpstreamEntry upstream, String requestId, long nowMillis) {
    invalidLoads
        .onError(upstream.id(), nowMillis)
        .ifPresent(
            count ->
                log.warn(
                    "upstream-load-invalid",
                    "upstream",
                    upstream.id(),
                    "request",
                    requestId,
                    "count",
                    count));
  }

  /** Handles a window that shrank, or that permits as many requests as the upstream has slots. */
  void onWindow(UpstreamEntry upstream, boolean full, double size, long nowMillis) {
    RepeatedErrors lines = full ? fullWindows : shrunkWindows;
    lines
        .onError(upstream.id(), nowMillis)
        .ifPresent(
            count ->
                log.info(
                    full ? "upstream-window-full" : "upstream-window-shrunk",
                    "upstream",
                    upstream.id(),
                    "startedAtMillis",
                    upstream.startedAtMillis(),
                    "window",
                    Math.round(size * 10) / 10.0,
                    "count",
                    count));
  }
}
