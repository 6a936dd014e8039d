package io.briarward.node.http;

import io.briarward.core.forwarding.ResponseSyntax;
import io.briarward.node.telemetry.RepeatedErrors;
import io.reactivex.rxjava3.core.Scheduler;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Logs bytes that servers send outside of responses, and broken responses, at a bounded rate.
 *
 * <p>Thread-safe.
 */
final class ServerFaultLog implements ResponseBoundaryGuard.Listener {
  private static final long INTERVAL_MILLIS = 1_000;

  private final Scheduler clock;
  private final RepeatedErrors errors = RepeatedErrors.withInterval(INTERVAL_MILLIS);

  private ServerFaultLog(Scheduler clock) {
    this.clock = clock;
  }

  /** Returns a log that measures its rate by a scheduler's clock. */
  static ServerFaultLog create(Scheduler clock) {
    return new ServerFaultLog(clock);
  }

  @Override
  public void onStrayBytes(SocketAddress server, ResponseBoundaryGuard.Position position) {
    log("event=stray-bytes server={} position={} count={}", server, position.label());
  }

  @Override
  public void onBrokenResponse(SocketAddress server, ResponseSyntax.Fault fault) {
    log("event=broken-response server={} part={} count={}", server, fault.label());
  }

  private void log(String line, SocketAddress server, String label) {
    errors
        .onError(label, clock.now(TimeUnit.MILLISECONDS))
        .ifPresent(count -> Logger.warn(line, server, label, count));
  }
}
