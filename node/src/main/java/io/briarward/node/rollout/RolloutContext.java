package io.briarward.node.rollout;

import io.briarward.core.rollout.RolloutKey;
import io.briarward.node.live.UsageRecorder;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.processors.PublishProcessor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The services and state that all parts of the rollout service share.
 *
 * @param node the incarnation of this process, unique across restarts
 * @param wallMillis the wall clock in milliseconds since the Unix epoch
 * @param recorded emits the key of a rollout when this node has recorded groups of it
 */
record RolloutContext(
    Scheduler scheduler,
    RolloutStore store,
    CompletionClient completions,
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
