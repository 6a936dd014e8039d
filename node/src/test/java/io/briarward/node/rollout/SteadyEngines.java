package io.briarward.node.rollout;

import io.briarward.core.configuration.Upstream;
import io.briarward.core.rollout.RolloutAction;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Engines that all produce a token per interval with the same weight version. */
final class SteadyEngines implements Engines {
  private static final int TOKENS = 10;
  private static final long TOKEN_MILLIS = 20;

  private final Scheduler scheduler;
  private long version = 1;
  private int started;

  SteadyEngines(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  void swap(long next) {
    version = next;
  }

  int started() {
    return started;
  }

  @Override
  public Flowable<CompletionChunk> complete(Upstream upstream, RolloutAction.Dispatch dispatch) {
    started++;
    return Flowable.intervalRange(
            1, TOKENS, TOKEN_MILLIS, TOKEN_MILLIS, TimeUnit.MILLISECONDS, scheduler)
        .onBackpressureBuffer()
        .map(index -> chunk(index == TOKENS));
  }

  private CompletionChunk chunk(boolean last) {
    return new CompletionChunk("t", 1, version, last ? Optional.of("stop") : Optional.empty());
  }
}
