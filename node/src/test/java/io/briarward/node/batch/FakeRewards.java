package io.briarward.node.batch;

import io.briarward.core.batch.RewardCall;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamNotice;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** A service that scores texts in virtual time. */
final class FakeRewards implements RewardClient {
  private static final long CALL_MILLIS = 40;

  private final Scheduler scheduler;
  private final List<RewardCall> calls = new ArrayList<>();
  private final Map<String, Set<String>> scoresByCall = new HashMap<>();
  private Function<RewardCall, Outcome> outcomes = call -> Outcome.SCORED;
  private int inFlight;
  private int maxInFlight;
  private boolean silent;

  FakeRewards(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Sets how each call ends. */
  void setOutcomes(Function<RewardCall, Outcome> decision) {
    outcomes = decision;
  }

  /** Sets whether the service does not respond. */
  void setSilent(boolean value) {
    silent = value;
  }

  List<RewardCall> calls() {
    return calls;
  }

  int maxInFlight() {
    return maxInFlight;
  }

  /** Returns all scores that were given in response to a call. */
  Set<String> scores(String callId) {
    return scoresByCall.getOrDefault(callId, Set.of());
  }

  @Override
  public Single<Reply> score(RewardCall call, UpstreamEntry upstream, long timeoutMillis) {
    return Single.defer(
        () -> {
          calls.add(call);
          inFlight++;
          maxInFlight = Math.max(maxInFlight, inFlight);
          Single<Reply> reply =
              silent
                  ? Single.never()
                  : Single.timer(CALL_MILLIS, TimeUnit.MILLISECONDS, scheduler)
                      .map(unused -> reply(call));
          return reply.doFinally(() -> inFlight--);
        });
  }

  private Reply reply(RewardCall call) {
    Outcome outcome = outcomes.apply(call);
    if (outcome != Outcome.SCORED) {
      return Reply.withoutResponse(outcome, "scripted");
    }
    Set<String> scores = scoresByCall.computeIfAbsent(call.id(), unused -> new HashSet<>());
    String score = call.id() + "#" + scores.size();
    scores.add(score);
    return Reply.scored(score, Optional.of(UpstreamNotice.NONE));
  }
}
