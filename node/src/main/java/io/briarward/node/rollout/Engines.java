package io.briarward.node.rollout;

import io.briarward.core.configuration.Upstream;
import io.briarward.core.rollout.RolloutAction;
import io.reactivex.rxjava3.core.Flowable;

/** Runs completions on model engines. */
@FunctionalInterface
interface Engines {
  /**
   * Streams a completion; disposing of the subscription cancels it.
   *
   * <p>Completes only after a part with a finish reason, and fails when the stream breaks off.
   */
  Flowable<CompletionChunk> complete(Upstream upstream, RolloutAction.Dispatch dispatch);
}
