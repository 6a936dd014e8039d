package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.fleet.UpstreamBalancer;
import io.briarward.core.memory.ByteBudget;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.quarantine.CrashRegistry;
import io.briarward.node.streams.StreamOrigins;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.telemetry.Metrics;
import io.reactivex.rxjava3.core.Scheduler;
import io.vertx.core.http.HttpServerRequest;
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

  private final Context context;
  private int inFlight;

  LiveForwarder(Context context) {
    this.context = checkNotNull(context, "context");
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Forwards a request whose body has been read. */
  public void forward(HttpServerRequest downstream, LiveCall call) {
    inFlight++;
    context.metrics().inFlight(inFlight);
    new ForwardedExchange(context, downstream, call, this::onFinished).start();
  }

  private void onFinished() {
    inFlight--;
    context.metrics().inFlight(inFlight);
  }
}
