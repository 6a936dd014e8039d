package io.briarward.node.rollout;

import io.briarward.core.configuration.Upstream;
import io.briarward.core.rollout.RolloutAction;
import io.reactivex.rxjava3.core.Flowable;

/** Streams completions from samplers. */
@FunctionalInterface
interface CompletionClient {
  /**
   * Streams a completion; disposing of the subscription cancels it.
   *
   * <p>The stream completes only after a chunk with a finish reason, and fails if the connection
   * closes before the end of the stream.
   */
  Flowable<CompletionChunk> complete(Upstream sampler, RolloutAction.Dispatch dispatch);
}
