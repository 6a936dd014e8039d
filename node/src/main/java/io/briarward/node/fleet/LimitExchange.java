package io.briarward.node.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.fleet.LimitShares;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;

/**
 * Keeps this node's shares of upstreams' limits up to date with the demands in the heartbeat rows,
 * and publishes its own demand earlier than the next heartbeat if it has grown.
 *
 * <p>Confined to the event loop.
 */
public final class LimitExchange implements AutoCloseable {
  /** Half the interval at which changes of the rows are read. */
  private static final long UPDATE_INTERVAL_MILLIS = 250;

  private final NodeRegistry nodes;
  private final LimitShares shares;
  private final Runnable onUpdate;
  private final Disposable timer;

  private LimitExchange(
      NodeRegistry nodes, LimitShares shares, Scheduler scheduler, Runnable onUpdate) {
    this.nodes = checkNotNull(nodes, "nodes");
    this.shares = checkNotNull(shares, "shares");
    this.onUpdate = checkNotNull(onUpdate, "onUpdate");
    this.timer = Timers.every(scheduler, UPDATE_INTERVAL_MILLIS, this::update);
  }

  /** Starts to update {@code shares} from the rows that {@code nodes} follows. */
  public static LimitExchange start(NodeRegistry nodes, LimitShares shares, Scheduler scheduler) {
    return start(nodes, shares, scheduler, () -> {});
  }

  /**
   * Starts to update {@code shares} from the rows that {@code nodes} follows.
   *
   * @param onUpdate is run after each update
   */
  public static LimitExchange start(
      NodeRegistry nodes, LimitShares shares, Scheduler scheduler, Runnable onUpdate) {
    return new LimitExchange(nodes, shares, scheduler, onUpdate);
  }

  private void update() {
    nodes.publishChanges();
    shares.update(nodes.demands(), nodes.reliable());
    shares.setSenders(nodes.senders());
    onUpdate.run();
  }

  @Override
  public void close() {
    timer.dispose();
  }
}
