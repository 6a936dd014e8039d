package io.briarward.node.http;

import io.briarward.node.telemetry.RepeatedErrors;
import io.reactivex.rxjava3.core.Scheduler;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Logs bytes that servers send outside of responses, at a bounded rate. Thread-safe. */
final class StrayBytesLog implements ResponseBoundaryGuard.Listener {
  private static final long INTERVAL_MILLIS = 1_000;

  private final Scheduler clock;
  private final RepeatedErrors errors = RepeatedErrors.withInterval(INTERVAL_MILLIS);

  private StrayBytesLog(Scheduler clock) {
    this.clock = clock;
  }

  /** Returns a log that measures its rate by a scheduler's clock. */
  static StrayBytesLog create(Scheduler clock) {
    return new StrayBytesLog(clock);
  }

  @Override
  public void onStrayBytes(SocketAddress server, ResponseBoundaryGuard.Position position) {
    errors
        .onError(position.label(), clock.now(TimeUnit.MILLISECONDS))
        .ifPresent(
            count ->
                Logger.warn(
                    "event=stray-bytes server={} position={} count={}",
                    server,
                    position.label(),
                    count));
  }
}
