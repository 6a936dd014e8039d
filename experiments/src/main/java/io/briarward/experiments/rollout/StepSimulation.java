package io.briarward.experiments.rollout;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.rollout.GroupResult;
import io.briarward.core.rollout.GroupSpec;
import io.briarward.core.rollout.RolloutAction;
import io.briarward.core.rollout.RolloutPlanner;
import io.briarward.core.rollout.Sample;
import io.briarward.core.rollout.SamplingParameters;
import io.briarward.core.rollout.StalenessBound;
import io.briarward.core.rollout.StragglerPolicy;
import io.briarward.core.weights.SamplerReport;
import io.briarward.core.weights.SwapOrder;
import io.briarward.core.weights.SwapPlanner;
import io.briarward.core.weights.SwapSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;

/**
 * Simulates samplers and a trainer that requests the next step while it trains on the current one.
 *
 * <p>Runs {@link RolloutPlanner} and {@link SwapPlanner} in virtual time. A complete group is
 * delivered if it is within the staleness bound, and run again otherwise.
 */
final class StepSimulation {
  private static final long STEP_MILLIS = 250;
  private static final long LOAD_MILLIS = 2_000;
  private static final double FETCHES_PER_SECOND = 2;
  private static final int UNBOUNDED = 1_000_000;
  private static final int MAX_TOKENS = 4_096;
  private static final long MAX_MILLIS = 24 * 3_600_000L;

  private final StepScenario scenario;
  private final StepPolicy policy;
  private final Random random;
  private final long seed;
  private final List<VirtualSampler> samplers = new ArrayList<>();
  private final Map<String, VirtualSampler> byAttempt = new HashMap<>();
  private final List<Integer> staleGroups = new ArrayList<>();
  private final SwapPlanner swaps;
  private final Series idleSeconds = new Series();
  private final Series stepSeconds = new Series();
  private final Series ages = new Series();
  private RolloutPlanner planner;
  private ImmutableMap<Integer, GroupSpec> groups;
  private int undelivered;
  private int planners;
  private int submitted;
  private int nextSampler;
  private int extraAttempts;
  private long generatedTokens;
  private long deliveredTokens;
  private long announced = 1;
  private long nowMillis;

  StepSimulation(StepScenario scenario, StepPolicy policy, long seed) {
    this.scenario = scenario;
    this.policy = policy;
    this.random = new Random(seed);
    this.seed = seed;
    for (int i = 0; i < scenario.samplers(); i++) {
      samplers.add(
          new VirtualSampler("s" + i, scenario.batchLimit(), scenario.tokensPerSecond(), 1));
    }
    this.swaps = SwapPlanner.create(SwapSettings.of(FETCHES_PER_SECOND), 0);
    swaps.members(samplers.stream().map(VirtualSampler::id).collect(ImmutableSet.toImmutableSet()));
  }

  /**
   * The measurements of a run.
   *
   * @param idleSeconds the time that the trainer waited for each step
   * @param stepSeconds the time from submission to the last delivery of each step
   * @param ages the ages of the samples at delivery, in weight versions
   * @param extraAttemptShare the number of extra attempts per sample
   * @param wastedShare the share of generated tokens that were not delivered
   */
  record Result(
      Series idleSeconds,
      Series stepSeconds,
      Series ages,
      double extraAttemptShare,
      double wastedShare) {}

  Result run() {
    submit();
    long submittedAtMillis = 0;
    long trainedAtMillis = 0;
    for (int step = 0; step < scenario.steps() && nowMillis < MAX_MILLIS; step++) {
      runUntilDelivered(trainedAtMillis);
      idleSeconds.add(Math.max(0, nowMillis - trainedAtMillis) / 1e3);
      stepSeconds.add((nowMillis - submittedAtMillis) / 1e3);
      submittedAtMillis = nowMillis;
      trainedAtMillis = nowMillis + scenario.trainMillis();
      submit();
    }
    int samples = scenario.steps() * scenario.groups() * scenario.samplesPerGroup();
    return new Result(
        idleSeconds.finish(),
        stepSeconds.finish(),
        ages.finish(),
        (double) extraAttempts / samples,
        1 - (double) deliveredTokens / Math.max(1, generatedTokens));
  }

  private void runUntilDelivered(long trainedAtMillis) {
    while (nowMillis < MAX_MILLIS && (undelivered > 0 || nowMillis < trainedAtMillis)) {
      advance();
    }
  }

  private void announceIfDue() {
    if (nowMillis % scenario.versionEveryMillis() == 0) {
      announced++;
      planner.onAnnounced(announced);
      swaps.target(announced);
    }
  }

  private void submit() {
    submitted++;
    SamplingParameters sampling = new SamplingParameters(MAX_TOKENS, 1, 1);
    ImmutableMap.Builder<Integer, GroupSpec> specs = ImmutableMap.builder();
    for (int i = 0; i < scenario.groups(); i++) {
      specs.put(i, new GroupSpec("g" + i, "p", scenario.samplesPerGroup(), sampling));
    }
    groups = specs.buildOrThrow();
    undelivered = groups.size();
    startPlanner(groups);
  }

  private void startPlanner(ImmutableMap<Integer, GroupSpec> work) {
    int bound = policy.checksDuringRun() ? scenario.bound() : UNBOUNDED;
    planners++;
    planner =
        RolloutPlanner.create(
            "a" + planners,
            work,
            new StalenessBound(bound),
            StragglerPolicy.of(policy.extraAttemptShare()));
    planner.onAnnounced(announced);
  }

  private void advance() {
    nowMillis += STEP_MILLIS;
    slowRandomSampler();
    announceIfDue();
    swapWeights();
    samplers.forEach(sampler -> sampler.advance(nowMillis, STEP_MILLIS, this::onProgress));
    int before = planner.extraAttempts();
    int slots = policy.maxInFlight(scenario) - planner.inFlight();
    planner.poll(nowMillis, Math.max(0, slots)).forEach(this::execute);
    extraAttempts += planner.extraAttempts() - before;
    planner.takeCompleted().forEach(this::deliver);
  }

  private void slowRandomSampler() {
    boolean due = scenario.slowEveryMillis() > 0 && nowMillis % scenario.slowEveryMillis() == 0;
    if (due) {
      VirtualSampler slow = samplers.get(random.nextInt(samplers.size()));
      slow.slowDown(scenario.slowdown(), nowMillis + scenario.slowForMillis());
    }
  }

  private void swapWeights() {
    for (VirtualSampler sampler : samplers) {
      swaps.report(
          new SamplerReport(
              sampler.id(), sampler.version(), sampler.loading(), sampler.inFlight(), nowMillis));
    }
    for (SwapOrder order : swaps.poll(nowMillis, 1)) {
      samplers.stream()
          .filter(sampler -> sampler.id().equals(order.sampler()))
          .forEach(sampler -> sampler.load(order.version(), nowMillis + LOAD_MILLIS, true));
    }
  }

  private void execute(RolloutAction action) {
    if (action instanceof RolloutAction.Dispatch dispatch) {
      dispatch(dispatch);
    } else {
      Optional.ofNullable(byAttempt.remove(action.attemptId()))
          .ifPresent(sampler -> sampler.cancel(action.attemptId()));
    }
  }

  private void dispatch(RolloutAction.Dispatch dispatch) {
    Optional<VirtualSampler> chosen =
        policy.leastLoaded() ? leastLoaded(dispatch) : Optional.of(roundRobin());
    if (chosen.isEmpty()) {
      planner.onNotStarted(dispatch.attemptId(), nowMillis);
      return;
    }
    int length = length(dispatch.sampleId());
    byAttempt.put(dispatch.attemptId(), chosen.get());
    planner.onStarted(dispatch.attemptId(), chosen.get().id());
    chosen.get().start(new VirtualAttempt(dispatch.attemptId(), dispatch.resumeTokens(), length));
  }

  private Optional<VirtualSampler> leastLoaded(RolloutAction.Dispatch dispatch) {
    return samplers.stream()
        .filter(sampler -> sampler.version() >= dispatch.minVersion())
        .filter(sampler -> sampler.inFlight() < scenario.batchLimit())
        .min(
            Comparator.<VirtualSampler, Boolean>comparing(
                    sampler -> dispatch.avoidSamplers().contains(sampler.id()))
                .thenComparing(sampler -> sampler.version() < dispatch.preferredVersion())
                .thenComparing(VirtualSampler::inFlight));
  }

  private VirtualSampler roundRobin() {
    nextSampler = (nextSampler + 1) % samplers.size();
    return samplers.get(nextSampler);
  }

  /** Returns the length of a sample in tokens; one sample in 16 is several times as long. */
  private int length(String sampleId) {
    Random lengths = new Random(Objects.hash(seed, submitted, sampleId));
    int typical = 150 + lengths.nextInt(300);
    return lengths.nextInt(16) == 0 ? typical + 600 + lengths.nextInt(600) : typical;
  }

  private void onProgress(String attemptId, int tokens, long version, boolean finished) {
    generatedTokens += tokens;
    planner.onChunk(attemptId, "", tokens, version, nowMillis);
    if (finished) {
      byAttempt.remove(attemptId);
      planner.onFinished(attemptId, "stop", nowMillis).forEach(this::execute);
    }
  }

  private void deliver(RolloutPlanner.CompletedGroup group) {
    GroupResult result = group.result();
    boolean fresh = new StalenessBound(scenario.bound()).isFresh(result.oldestVersion(), announced);
    if (!fresh) {
      deferStaleGroup(group.index());
      return;
    }
    undelivered--;
    markDelivered(group.index());
    deliveredTokens += result.tokens();
    for (Sample sample : result.samples()) {
      ages.add(announced - sample.oldestVersion());
    }
  }

  /** Defers a group beyond the staleness bound to a run after all others of the step. */
  private void deferStaleGroup(int index) {
    staleGroups.add(index);
    markDelivered(index);
  }

  private void markDelivered(int index) {
    planner.onDelivered(index);
    if (planner.isDelivered() && !staleGroups.isEmpty()) {
      ImmutableMap<Integer, GroupSpec> again =
          staleGroups.stream().collect(ImmutableMap.toImmutableMap(each -> each, groups::get));
      staleGroups.clear();
      startPlanner(again);
    }
  }
}
