package io.briarward.node;

import io.briarward.core.memory.BodyBudget;
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
 * The settings, clocks and services that the components of a node share.
 *
 * @param incarnation the id of this run of the process, unique among all runs
 * @param scheduler runs tasks on the node's event loop and has a monotonic clock
 * @param startWallMillis the wall clock at the start, in milliseconds since the Unix epoch
 * @param startMillis the scheduler's clock at the start, in milliseconds
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

  private static final int MAX_SHORT_BODY_BYTES = 64 << 10;
  private static final long SHORT_BODIES_BYTES = 4 << 20;

  /** Returns the memory that bodies take at most, in bytes. */
  static long maxBodiesBytes(NodeSettings settings) {
    return SHORT_BODIES_BYTES + longBodiesBytes(settings);
  }

  /** One body as received and as one buffer. */
  private static long longBodiesBytes(NodeSettings settings) {
    return 2 * settings.maxBodyBytes();
  }

  /**
   * Returns a reader of request bodies with the configured time-out, whose bodies share a budget
   * that lets one of the largest size be read.
   */
  public BodyReader bodies() {
    BodyBudget budget =
        BodyBudget.of(MAX_SHORT_BODY_BYTES, SHORT_BODIES_BYTES, longBodiesBytes(settings));
    return new BodyReader(scheduler, settings.bodyTimeoutMillis(), budget);
  }

  /** Returns the time of the monotonic clock in milliseconds. */
  public long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the time in milliseconds since the Unix epoch.
   *
   * <p>The time advances with the monotonic clock, so that changes of the wall clock after the
   * start do not affect it.
   */
  public long wallMillis() {
    return startWallMillis + nowMillis() - startMillis;
  }
}
