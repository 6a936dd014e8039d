package io.briarward.node.rollout;

import io.briarward.core.rollout.RolloutKey;
import io.briarward.node.live.UsageRecorder;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.processors.PublishProcessor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * What the parts of the rollout service share.
 *
 * @param node names this process; unique over restarts
 * @param wallMillis the wall clock in milliseconds since the Unix epoch
 * @param recorded signals rollouts of which this node recorded groups
 */
record RolloutContext(
    Scheduler scheduler,
    RolloutStore store,
    Engines engines,
    SamplerSelector samplers,
    UsageRecorder usage,
    String node,
    LongSupplier wallMillis,
    PublishProcessor<RolloutKey> recorded) {

  /** Returns the time of the monotonic clock in milliseconds. */
  long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
