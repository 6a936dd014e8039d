package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.FailureException;
import io.briarward.core.fleet.UpstreamBalancer;
import io.briarward.core.forwarding.StopSchedule;
import io.briarward.core.memory.ByteBudget;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.quarantine.CrashRegistry;
import io.briarward.node.streams.StreamOrigins;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.telemetry.Metrics;
import io.reactivex.rxjava3.core.Scheduler;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Forwards live requests to upstreams and responses to callers. Confined to the event loop. */
public final class LiveForwarder {
  /**
   * The dependencies that all exchanges share.
   *
   * @param nodes knows the nodes that run requests of this one
   * @param runs counts the requests that started to run
   * @param crashes records the requests under which upstreams ended
   * @param origins records at which software version each resumable stream began
   * @param heldAnswers the memory of the answers that are held back
   */
  record Context(
      Scheduler scheduler,
      FleetState fleet,
      UpstreamConnections connections,
      NodeRegistry nodes,
      PeerRelays relays,
      UpstreamProtocol upstreamProtocol,
      CallerProtocol callerProtocol,
      RunMeter runs,
      CrashRegistry crashes,
      StreamOrigins origins,
      ByteBudget heldAnswers,
      Metrics metrics,
      EventLog log) {
    Context {
      checkNotNull(scheduler, "scheduler");
      checkNotNull(fleet, "fleet");
      checkNotNull(connections, "connections");
      checkNotNull(nodes, "nodes");
      checkNotNull(relays, "relays");
      checkNotNull(upstreamProtocol, "upstreamProtocol");
      checkNotNull(callerProtocol, "callerProtocol");
      checkNotNull(runs, "runs");
      checkNotNull(crashes, "crashes");
      checkNotNull(origins, "origins");
      checkNotNull(heldAnswers, "heldAnswers");
      checkNotNull(metrics, "metrics");
      checkNotNull(log, "log");
    }

    UpstreamBalancer balancer() {
      return fleet.balancer();
    }

    long nowMillis() {
      return scheduler.now(TimeUnit.MILLISECONDS);
    }
  }

  /** Another node can be asked at once. */
  private static final long STOPPING_RETRY_AFTER_MILLIS = 100;

  private final Context context;
  private final Set<ForwardedExchange> inFlight = new HashSet<>();
  private Optional<StopSchedule> stop = Optional.empty();

  LiveForwarder(Context context) {
    this.context = checkNotNull(context, "context");
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return inFlight.size();
  }

  /**
   * Forwards a request whose body has been read.
   *
   * @throws FailureException with {@link ErrorKind#STOPPING} if the node stops and the request may
   *     not end before
   */
  public void forward(HttpServerRequest downstream, LiveCall call) {
    if (!accepts(call)) {
      throw Failure.notRun(
              ErrorKind.STOPPING,
              "the request may not end before the node does",
              STOPPING_RETRY_AFTER_MILLIS)
          .toException();
    }
    ForwardedExchange exchange = new ForwardedExchange(context, downstream, call, this::onFinished);
    inFlight.add(exchange);
    context.metrics().inFlight(inFlight.size());
    exchange.start();
  }

  private boolean accepts(LiveCall call) {
    return stop.map(schedule -> schedule.accepts(context.nowMillis(), call.deadlineMillis()))
        .orElse(true);
  }

  /** Takes only what the schedule allows from now on, and ends what is in flight at its end. */
  void stop(StopSchedule schedule) {
    stop = Optional.of(schedule);
    var unused =
        context
            .scheduler()
            .scheduleDirect(
                () -> ImmutableList.copyOf(inFlight).forEach(ForwardedExchange::onStopped),
                Math.max(0, schedule.answerByMillis() - context.nowMillis()),
                TimeUnit.MILLISECONDS);
  }

  private void onFinished(ForwardedExchange exchange) {
    inFlight.remove(exchange);
    context.metrics().inFlight(inFlight.size());
  }
}
