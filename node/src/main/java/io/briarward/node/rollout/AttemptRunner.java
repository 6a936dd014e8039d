package io.briarward.node.rollout;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import io.briarward.core.rollout.RolloutAction;
import io.briarward.core.rollout.RolloutKey;
import io.briarward.core.rollout.RolloutPlanner;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tinylog.Logger;

/** Runs a planner's attempts on samplers and reports their progress to the planner. */
final class AttemptRunner implements AutoCloseable {
  private final RolloutContext context;
  private final RolloutKey key;
  private final String service;
  private final RolloutPlanner planner;
  private final Map<String, Disposable> streams = new HashMap<>();

  AttemptRunner(RolloutContext context, RolloutKey key, String service, RolloutPlanner planner) {
    this.context = context;
    this.key = key;
    this.service = service;
    this.planner = planner;
  }

  /** Starts and cancels attempts as the planner has decided. */
  void run(ImmutableList<RolloutAction> actions) {
    for (RolloutAction action : actions) {
      if (action instanceof RolloutAction.Dispatch dispatch) {
        start(dispatch);
      } else {
        cancel(action.attemptId());
      }
    }
  }

  private void start(RolloutAction.Dispatch dispatch) {
    Optional<SamplerSelector.Slot> slot = context.samplers().select(selection(dispatch));
    if (slot.isEmpty()) {
      planner.onNotStarted(dispatch.attemptId(), context.nowMillis());
      return;
    }
    planner.onStarted(dispatch.attemptId(), slot.get().upstream().id());
    openStream(dispatch, slot.get());
  }

  private SamplerSelector.Selection selection(RolloutAction.Dispatch dispatch) {
    String group = Splitter.on('/').split(dispatch.sampleId()).iterator().next();
    return new SamplerSelector.Selection(
        service,
        key.organisation(),
        key.prefix() + group,
        dispatch.prompt(),
        dispatch.minVersion(),
        dispatch.preferredVersion(),
        dispatch.avoidSamplers());
  }

  private void openStream(RolloutAction.Dispatch dispatch, SamplerSelector.Slot slot) {
    String attemptId = dispatch.attemptId();
    SerialDisposable stream = new SerialDisposable();
    streams.put(attemptId, stream);
    stream.set(
        context
            .completions()
            .complete(slot.upstream(), dispatch)
            .doOnCancel(() -> slot.release(true))
            .subscribe(
                chunk -> onChunk(attemptId, chunk),
                cause -> onFailed(attemptId, slot, cause),
                () -> onEnded(attemptId, slot)));
  }

  private void onChunk(String attemptId, CompletionChunk chunk) {
    long nowMillis = context.nowMillis();
    planner.onChunk(attemptId, chunk.text(), chunk.tokens(), chunk.weightVersion(), nowMillis);
    if (chunk.finishReason().isPresent()) {
      run(planner.onFinished(attemptId, chunk.finishReason().get(), nowMillis));
    }
  }

  private void onEnded(String attemptId, SamplerSelector.Slot slot) {
    streams.remove(attemptId);
    slot.release(true);
    planner.onFailed(attemptId, context.nowMillis());
  }

  private void onFailed(String attemptId, SamplerSelector.Slot slot, Throwable cause) {
    streams.remove(attemptId);
    slot.release(false);
    Logger.debug(
        "attempt {} on sampler {} failed: {}", attemptId, slot.upstream().id(), cause.getMessage());
    planner.onFailed(attemptId, context.nowMillis());
  }

  private void cancel(String attemptId) {
    Optional.ofNullable(streams.remove(attemptId)).ifPresent(Disposable::dispose);
  }

  @Override
  public void close() {
    run(planner.cancelAll());
  }
}
