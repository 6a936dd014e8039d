package io.briarward.node;

import io.briarward.node.configuration.ConfigurationHolder;
import io.briarward.node.configuration.ConfigurationStore;
import io.briarward.node.configuration.ControlService;
import io.briarward.node.http.BodyReader;
import io.briarward.node.peer.PeerNetwork;
import io.briarward.node.platform.ObjectStore;
import io.briarward.node.platform.ReportSink;
import io.briarward.node.platform.TableService;
import io.briarward.node.platform.UpstreamOrders;
import io.briarward.node.platform.VmList;
import io.briarward.node.settings.NodeSettings;
import io.briarward.node.telemetry.Metrics;
import io.briarward.node.telemetry.Tracing;
import io.reactivex.rxjava3.core.Scheduler;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;

/**
 * What the parts of a node share.
 *
 * @param incarnation unique to this process
 * @param scheduler runs everything on the node's one event loop, by a monotonic clock
 * @param startWallMillis the wall clock in milliseconds since the Unix epoch when {@code scheduler}
 *     read {@code startMillis}
 */
public record NodeContext(
    NodeSettings settings,
    String incarnation,
    Vertx vertx,
    Scheduler scheduler,
    long startWallMillis,
    long startMillis,
    TableService tables,
    ObjectStore objects,
    UpstreamOrders orders,
    ReportSink reports,
    VmList vmList,
    PeerNetwork peers,
    ConfigurationHolder configuration,
    ControlService control,
    ConfigurationStore configurationStore,
    Metrics metrics,
    Tracing tracing) {

  /** Returns what reads the bodies of requests. */
  public BodyReader bodies() {
    return new BodyReader(scheduler, settings.bodyTimeoutMillis());
  }

  /** Returns the time of the monotonic clock in milliseconds. */
  public long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  /** Returns the wall clock's time in milliseconds since the Unix epoch, free of its jumps. */
  public long wallMillis() {
    return startWallMillis + nowMillis() - startMillis;
  }
}
