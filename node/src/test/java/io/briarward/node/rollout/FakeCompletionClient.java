package io.briarward.node.rollout;

import io.briarward.core.configuration.Upstream;
import io.briarward.core.rollout.RolloutAction;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Samplers that generate tokens at a fixed interval, all with the same weight version. */
final class FakeCompletionClient implements CompletionClient {
  private static final int TOKENS_PER_COMPLETION = 10;
  private static final long TOKEN_INTERVAL_MILLIS = 20;

  private final Scheduler scheduler;
  private long version = 1;
  private int startedCount;

  FakeCompletionClient(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  void setWeightVersion(long next) {
    version = next;
  }

  int startedCount() {
    return startedCount;
  }

  @Override
  public Flowable<CompletionChunk> complete(Upstream upstream, RolloutAction.Dispatch dispatch) {
    startedCount++;
    return Flowable.intervalRange(
            1,
            TOKENS_PER_COMPLETION,
            TOKEN_INTERVAL_MILLIS,
            TOKEN_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS,
            scheduler)
        .onBackpressureBuffer()
        .map(index -> chunk(index == TOKENS_PER_COMPLETION));
  }

  private CompletionChunk chunk(boolean last) {
    return new CompletionChunk("t", 1, version, last ? Optional.of("stop") : Optional.empty());
  }
}
