package io.briarward.core.rollout;

import static com.google.common.collect.Iterables.getOnlyElement;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;

class RolloutPlannerTest {
  private static final SamplingParameters SAMPLING = new SamplingParameters(100, 1, 7);

  private static RolloutPlanner planner(int groups, int samples, int bound, double extraShare) {
    ImmutableMap.Builder<Integer, GroupSpec> specs = ImmutableMap.builder();
    for (int i = 0; i < groups; i++) {
      specs.put(i, new GroupSpec("g" + i, "prompt", samples, SAMPLING));
    }
    return RolloutPlanner.create(
        "a", specs.buildOrThrow(), new StalenessBound(bound), StragglerPolicy.of(extraShare));
  }

  private static ImmutableList<RolloutAction.Dispatch> dispatches(
      RolloutPlanner planner, long nowMillis) {
    return planner.poll(nowMillis, 100).stream()
        .filter(RolloutAction.Dispatch.class::isInstance)
        .map(RolloutAction.Dispatch.class::cast)
        .collect(ImmutableList.toImmutableList());
  }

  private static void generateAndFinish(
      RolloutPlanner planner, String attemptId, long version, long nowMillis) {
    planner.onChunk(attemptId, "abc", 3, version, nowMillis);
    planner.onFinished(attemptId, "stop", nowMillis);
  }

  @Test
  void groupCompletesOnceAllSamplesFinish() {
    RolloutPlanner planner = planner(1, 2, 1, 0);
    ImmutableList<RolloutAction.Dispatch> started = dispatches(planner, 0);

    generateAndFinish(planner, started.get(0).attemptId(), 1, 10);
    assertThat(planner.takeCompleted()).isEmpty();
    generateAndFinish(planner, started.get(1).attemptId(), 1, 10);

    assertThat(getOnlyElement(planner.takeCompleted()).result().samples()).hasSize(2);
  }

  @Test
  void dispatchesAtMostFreeSlots() {
    assertThat(planner(2, 4, 1, 0).poll(0, 3)).hasSize(3);
  }

  @Test
  void failedAttemptIsResumedFromItsTokensOnOtherSampler() {
    RolloutPlanner planner = planner(1, 1, 1, 0);
    String first = getOnlyElement(dispatches(planner, 0)).attemptId();
    planner.onStarted(first, "s1");
    planner.onChunk(first, "abc", 3, 4, 10);
    planner.onFailed(first, 20);

    RolloutAction.Dispatch resumed = getOnlyElement(dispatches(planner, 1_000));
    assertThat(resumed.resumeText()).isEqualTo("abc");
    assertThat(resumed.avoidSamplers()).containsExactly("s1");
    generateAndFinish(planner, resumed.attemptId(), 5, 1_010);

    Sample sample = getOnlyElement(getOnlyElement(planner.takeCompleted()).result().samples());
    assertThat(sample.text()).isEqualTo("abcabc");
    assertThat(sample.weightVersions())
        .containsExactly(new VersionSpan(4, 0, 3), new VersionSpan(5, 3, 6))
        .inOrder();
  }

  @Test
  void staleAttemptIsCancelledAndRestarted() {
    RolloutPlanner planner = planner(1, 1, 1, 0);
    String first = getOnlyElement(dispatches(planner, 0)).attemptId();
    planner.onChunk(first, "abc", 3, 4, 10);
    planner.onAnnounced(6);

    ImmutableList<RolloutAction> actions = planner.poll(20, 1);

    assertThat(actions.get(0)).isEqualTo(new RolloutAction.Cancel(first));
    RolloutAction.Dispatch again = (RolloutAction.Dispatch) actions.get(1);
    assertThat(again.resumeText()).isEmpty();
    assertThat(again.minVersion()).isEqualTo(6);
  }

  @Test
  void firstAttemptMayRunOnAnyWeightsWithinBound() {
    RolloutPlanner planner = planner(1, 1, 1, 0);
    planner.onAnnounced(6);

    RolloutAction.Dispatch dispatch = getOnlyElement(dispatches(planner, 0));
    assertThat(dispatch.minVersion()).isEqualTo(5);
    assertThat(dispatch.preferredVersion()).isEqualTo(6);
  }

  @Test
  void anyWeightsAreAcceptedBeforeFirstAnnouncement() {
    RolloutAction.Dispatch dispatch = getOnlyElement(dispatches(planner(1, 1, 3, 0), 0));

    assertThat(dispatch.minVersion()).isEqualTo(0);
    assertThat(dispatch.preferredVersion()).isEqualTo(0);
  }

  @Test
  void staleFinishedSampleIsDiscarded() {
    RolloutPlanner planner = planner(1, 1, 0, 0);
    String first = getOnlyElement(dispatches(planner, 0)).attemptId();
    planner.onAnnounced(5);
    generateAndFinish(planner, first, 4, 10);

    assertThat(planner.takeCompleted()).isEmpty();
    assertThat(dispatches(planner, 20)).hasSize(1);
  }

  @Test
  void staleUndeliveredGroupRunsAgain() {
    RolloutPlanner planner = planner(1, 1, 1, 0);
    generateAndFinish(planner, getOnlyElement(dispatches(planner, 0)).attemptId(), 1, 10);
    planner.takeCompleted();
    planner.onAnnounced(3);

    assertThat(dispatches(planner, 20)).hasSize(1);
  }

  @Test
  void deliveredGroupNeverRunsAgain() {
    RolloutPlanner planner = planner(1, 1, 1, 0);
    generateAndFinish(planner, getOnlyElement(dispatches(planner, 0)).attemptId(), 1, 10);
    planner.onDelivered(0);
    planner.onAnnounced(3);

    assertThat(dispatches(planner, 20)).isEmpty();
    assertThat(planner.isDelivered()).isTrue();
  }

  @Test
  void stragglerGetsOneExtraAttemptAndSlowerAttemptIsCancelled() {
    RolloutPlanner planner = planner(1, 8, 1, 0.125);
    ImmutableList<RolloutAction.Dispatch> started = dispatches(planner, 0);
    started
        .subList(0, 7)
        .forEach(dispatch -> generateAndFinish(planner, dispatch.attemptId(), 1, 100));
    String slow = started.get(7).attemptId();
    planner.onStarted(slow, "s1");
    planner.onChunk(slow, "a", 1, 1, 200);

    RolloutAction.Dispatch extra = getOnlyElement(dispatches(planner, 8_000));
    assertThat(extra.resumeText()).isEqualTo("a");
    assertThat(extra.avoidSamplers()).containsExactly("s1");
    planner.onChunk(extra.attemptId(), "bc", 2, 1, 8_010);

    assertThat(planner.onFinished(extra.attemptId(), "stop", 8_010))
        .containsExactly(new RolloutAction.Cancel(slow));
    assertThat(getOnlyElement(planner.takeCompleted()).result().samples()).hasSize(8);
  }

  @Test
  void extraAttemptsStayWithinBudget() {
    RolloutPlanner planner = planner(1, 16, 1, 0.125);
    ImmutableList<RolloutAction.Dispatch> started = dispatches(planner, 0);
    started
        .subList(0, 8)
        .forEach(dispatch -> generateAndFinish(planner, dispatch.attemptId(), 1, 100));

    assertThat(dispatches(planner, 8_000)).hasSize(2);
    assertThat(dispatches(planner, 12_000)).isEmpty();
  }

  @Test
  void lateEventsOfFailedAttemptAreIgnored() {
    RolloutPlanner planner = planner(1, 1, 0, 0);
    String first = getOnlyElement(dispatches(planner, 0)).attemptId();
    planner.onFailed(first, 10);
    generateAndFinish(planner, first, 1, 20);

    assertThat(planner.takeCompleted()).isEmpty();
  }
}
