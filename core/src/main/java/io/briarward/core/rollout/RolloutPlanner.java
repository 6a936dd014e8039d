package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Schedules the attempts of one shard of a rollout.
 *
 * <p>The owner of the shard calls {@link #poll} periodically and reports the samplers' events to
 * the planner. {@link #takeCompleted} returns the groups that became complete. Events of attempts
 * that the planner no longer tracks are ignored. Not thread-safe.
 */
public final class RolloutPlanner {
  private static final long RETRY_BASE_MILLIS = 100;
  private static final long RETRY_MAX_MILLIS = 5_000;
  private static final int RETRY_MAX_DOUBLINGS = 6;
  private static final long PROGRESS_TIMEOUT_MILLIS = 30_000;
  private static final long FRESH_WEIGHTS_WAIT_MILLIS = 30_000;
  private static final long STRAGGLER_CHECK_MILLIS = 250;

  private final String attemptPrefix;
  private final StalenessBound bound;
  private final StragglerPolicy stragglers;
  private final ImmutableMap<Integer, GroupProgress> groups;
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private final StepDistribution finishedAttempts = new StepDistribution();
  private final List<CompletedGroup> completed = new ArrayList<>();
  private final int extraBudget;
  private int extraStarted;
  private long attemptCount;
  private long announcedVersion;
  private long nextStragglerCheckAtMillis;

  private RolloutPlanner(
      String attemptPrefix,
      ImmutableMap<Integer, GroupProgress> groups,
      StalenessBound bound,
      StragglerPolicy stragglers) {
    this.attemptPrefix = attemptPrefix;
    this.groups = groups;
    this.bound = bound;
    this.stragglers = stragglers;
    int samples = groups.values().stream().mapToInt(group -> group.spec().samples()).sum();
    this.extraBudget = stragglers.budget(samples);
  }

  /**
   * Creates a planner for the groups of one shard.
   *
   * @param attemptPrefix the prefix of attempt ids, unique among all owners that ever run these
   *     groups
   * @param groups the groups by their index in the rollout
   */
  public static RolloutPlanner create(
      String attemptPrefix,
      ImmutableMap<Integer, GroupSpec> groups,
      StalenessBound bound,
      StragglerPolicy stragglers) {
    checkNotNull(attemptPrefix, "attemptPrefix");
    checkArgument(!groups.isEmpty(), "groups is empty");
    ImmutableMap.Builder<Integer, GroupProgress> progress = ImmutableMap.builder();
    groups.forEach((index, spec) -> progress.put(index, new GroupProgress(index, spec)));
    return new RolloutPlanner(attemptPrefix, progress.buildOrThrow(), bound, stragglers);
  }

  /** A complete group with its index in the rollout. */
  public record CompletedGroup(int index, GroupResult result) {}

  /**
   * Handles an announcement of a weight version; older versions are ignored.
   *
   * @param version the announced weight version
   */
  public void onAnnounced(long version) {
    announcedVersion = Math.max(announcedVersion, version);
  }

  /** Handles a group that this or another owner recorded as complete; ignored if it is stale. */
  public void onRecorded(int groupIndex, long oldestVersion) {
    GroupProgress group = groups.get(groupIndex);
    boolean accepted =
        group != null && group.isRunning() && bound.isFresh(oldestVersion, announcedVersion);
    if (accepted) {
      group.markComplete(oldestVersion);
    }
  }

  /** Handles the delivery of a group. */
  public void onDelivered(int groupIndex) {
    GroupProgress group = groups.get(groupIndex);
    if (group != null) {
      group.markDelivered();
    }
  }

  /** Returns whether every group of the shard was delivered. */
  public boolean isDelivered() {
    return groups.values().stream()
        .allMatch(group -> group.stage() == GroupProgress.Stage.DELIVERED);
  }

  /** Returns the number of attempts in flight. */
  public int inFlight() {
    return attempts.size();
  }

  /** Returns the number of extra attempts started for stragglers. */
  public int extraAttempts() {
    return extraStarted;
  }

  /**
   * Returns the actions that are due, cancellations first.
   *
   * @param nowMillis the current time
   * @param freeSlots the maximum number of dispatches
   */
  public ImmutableList<RolloutAction> poll(long nowMillis, int freeSlots) {
    checkArgument(freeSlots >= 0, "freeSlots is %s, expected >= 0", freeSlots);
    ImmutableList.Builder<RolloutAction> actions = ImmutableList.builder();
    cancelStale(nowMillis, actions);
    cancelUnneeded(actions);
    cancelUnresponsive(nowMillis, actions);
    restartStale(nowMillis);
    int started = dispatchWaiting(nowMillis, freeSlots, actions);
    dispatchExtraAttempts(nowMillis, freeSlots - started, actions);
    return actions.build();
  }

  /** Handles the start of an attempt on a sampler. */
  public void onStarted(String attemptId, String samplerId) {
    findAttempt(attemptId).ifPresent(attempt -> attempt.setSampler(samplerId));
  }

  /**
   * Handles a chunk of tokens generated by an attempt.
   *
   * @param weightVersion the weight version that generated the chunk, as the engine reported it
   */
  public void onChunk(
      String attemptId, String text, int tokens, long weightVersion, long nowMillis) {
    findAttempt(attemptId)
        .ifPresent(attempt -> attempt.append(text, tokens, weightVersion, nowMillis));
  }

  /**
   * Handles the end of an attempt's stream. A stream without tokens counts as a failure.
   *
   * @param finishReason the reason that the engine reported
   * @return cancellations of the other attempts at the same sample
   */
  public ImmutableList<RolloutAction> onFinished(
      String attemptId, String finishReason, long nowMillis) {
    Optional<Attempt> found = findAttempt(attemptId);
    if (found.isEmpty()) {
      return ImmutableList.of();
    }
    Attempt attempt = found.get();
    if (attempt.tokens() == 0) {
      return onFailed(attemptId, nowMillis);
    }
    remove(attempt);
    if (!attempt.isFresh(oldestFresh())) {
      attempt.sample().discardStale(nowMillis);
      return ImmutableList.of();
    }
    finishedAttempts.add(
        attempt.tokens(), attempt.generatedTokens(), attempt.elapsedMillis(nowMillis));
    SampleProgress sample = attempt.sample();
    sample.finish(attempt.toSample(finishReason));
    completeIfAllSamplesFinished(sample.group());
    return cancelAll(ImmutableList.copyOf(sample.runningAttempts()));
  }

  /** Handles the failure of an attempt; its tokens are kept for the next attempt to resume. */
  public ImmutableList<RolloutAction> onFailed(String attemptId, long nowMillis) {
    Optional<Attempt> found = findAttempt(attemptId);
    found.ifPresent(attempt -> retry(attempt, nowMillis));
    return ImmutableList.of();
  }

  /** Handles an attempt that no sampler could accept; the sample is dispatched again later. */
  public void onNotStarted(String attemptId, long nowMillis) {
    Optional<Attempt> found = findAttempt(attemptId);
    found.ifPresent(
        attempt -> {
          remove(attempt);
          attempt.sample().postpone(nowMillis + RETRY_BASE_MILLIS);
        });
  }

  /** Returns and clears the groups that became complete since the last call. */
  public ImmutableList<CompletedGroup> takeCompleted() {
    ImmutableList<CompletedGroup> taken = ImmutableList.copyOf(completed);
    completed.clear();
    return taken;
  }

  /** Returns cancellations of all attempts in flight, for a shard that its owner releases. */
  public ImmutableList<RolloutAction> cancelAll() {
    return cancelAll(ImmutableList.copyOf(attempts.values()));
  }

  private ImmutableList<RolloutAction> cancelAll(ImmutableList<Attempt> unneeded) {
    unneeded.forEach(this::remove);
    return unneeded.stream()
        .map(attempt -> new RolloutAction.Cancel(attempt.id()))
        .collect(ImmutableList.toImmutableList());
  }

  private void cancelStale(long nowMillis, ImmutableList.Builder<RolloutAction> actions) {
    long oldest = oldestFresh();
    ImmutableList<Attempt> stale =
        attempts.values().stream()
            .filter(attempt -> !attempt.isFresh(oldest))
            .collect(ImmutableList.toImmutableList());
    for (Attempt attempt : stale) {
      attempt.sample().avoidSampler(attempt.sampler());
      attempt.sample().discardStale(nowMillis);
    }
    actions.addAll(cancelAll(stale));
  }

  private void cancelUnneeded(ImmutableList.Builder<RolloutAction> actions) {
    ImmutableList<Attempt> unneeded =
        attempts.values().stream()
            .filter(attempt -> !attempt.sample().group().isRunning())
            .collect(ImmutableList.toImmutableList());
    actions.addAll(cancelAll(unneeded));
  }

  private void cancelUnresponsive(long nowMillis, ImmutableList.Builder<RolloutAction> actions) {
    ImmutableList<Attempt> unresponsive =
        attempts.values().stream()
            .filter(attempt -> attempt.millisSinceProgress(nowMillis) > PROGRESS_TIMEOUT_MILLIS)
            .collect(ImmutableList.toImmutableList());
    for (Attempt attempt : unresponsive) {
      retry(attempt, nowMillis);
      actions.add(new RolloutAction.Cancel(attempt.id()));
    }
  }

  private void restartStale(long nowMillis) {
    long oldest = oldestFresh();
    for (GroupProgress group : groups.values()) {
      if (group.isCompleteButStale(oldest)) {
        group.restartStale(nowMillis);
      }
      group.samples().stream()
          .filter(sample -> sample.result().isPresent())
          .filter(sample -> sample.result().get().oldestVersion() < oldest)
          .forEach(sample -> sample.discardStale(nowMillis));
    }
  }

  private int dispatchWaiting(
      long nowMillis, int freeSlots, ImmutableList.Builder<RolloutAction> actions) {
    ImmutableList<SampleProgress> waiting =
        groups.values().stream()
            .filter(GroupProgress::isRunning)
            .flatMap(group -> group.samples().stream())
            .filter(sample -> sample.isWaiting(nowMillis))
            .limit(freeSlots)
            .collect(ImmutableList.toImmutableList());
    waiting.forEach(sample -> actions.add(dispatch(sample, sample.prefix(), nowMillis)));
    return waiting.size();
  }

  private void dispatchExtraAttempts(
      long nowMillis, int freeSlots, ImmutableList.Builder<RolloutAction> actions) {
    int allowed = Math.min(freeSlots, extraBudget - extraStarted);
    if (allowed <= 0 || nowMillis < nextStragglerCheckAtMillis) {
      return;
    }
    nextStragglerCheckAtMillis = nowMillis + STRAGGLER_CHECK_MILLIS;
    ImmutableList<Attempt> slowest =
        attempts.values().stream()
            .filter(attempt -> attempt.sample().runningAttempts().size() == 1)
            .filter(attempt -> stragglers.isStraggler(attempt, finishedAttempts, nowMillis))
            .sorted(
                Comparator.comparingDouble(
                    attempt -> -stragglers.remainingMillis(attempt, finishedAttempts, nowMillis)))
            .limit(allowed)
            .collect(ImmutableList.toImmutableList());
    for (Attempt attempt : slowest) {
      attempt.sample().avoidSampler(attempt.sampler());
      actions.add(dispatch(attempt.sample(), attempt.prefix(), nowMillis));
      extraStarted++;
    }
  }

  private RolloutAction dispatch(SampleProgress sample, Prefix available, long nowMillis) {
    long preferred = bound.oldestWorthStarting(announcedVersion);
    int maxTokens = sample.sampling().maxTokens();
    Prefix prefix = available.orEmptyIfOlderThan(preferred).orEmptyIfAtLeast(maxTokens);
    String attemptId = attemptPrefix + "." + attemptCount;
    attemptCount++;
    Attempt attempt = Attempt.start(attemptId, sample, prefix, nowMillis);
    attempts.put(attemptId, attempt);
    sample.runningAttempts().add(attempt);
    return new RolloutAction.Dispatch(
        attemptId,
        sample.id(),
        sample.group().spec().prompt(),
        sample.sampling(),
        prefix.text(),
        prefix.tokens(),
        minVersion(sample, preferred, nowMillis),
        preferred,
        sample.avoidedSamplers());
  }

  /**
   * Returns the oldest version on which an attempt may start. For some time after a sample's output
   * became stale, the sample waits for weights that stay within the bound after the next
   * announcement, since on older weights its output might become stale again before it finishes.
   */
  private long minVersion(SampleProgress sample, long preferred, long nowMillis) {
    boolean requiresPreferred = sample.wasStaleWithin(nowMillis, FRESH_WEIGHTS_WAIT_MILLIS);
    return requiresPreferred ? preferred : oldestFresh();
  }

  private void retry(Attempt attempt, long nowMillis) {
    remove(attempt);
    SampleProgress sample = attempt.sample();
    sample.avoidSampler(attempt.sampler());
    int doublings = Math.min(sample.failures(), RETRY_MAX_DOUBLINGS);
    long delayMillis = Math.min(RETRY_MAX_MILLIS, RETRY_BASE_MILLIS << doublings);
    sample.retry(attempt.prefix(), delayMillis, nowMillis);
  }

  private void completeIfAllSamplesFinished(GroupProgress group) {
    Optional<GroupResult> result = group.result();
    if (result.isPresent()) {
      completed.add(new CompletedGroup(group.index(), result.get()));
      group.markComplete(result.get().oldestVersion());
    }
  }

  private void remove(Attempt attempt) {
    attempts.remove(attempt.id());
    attempt.sample().runningAttempts().remove(attempt);
  }

  private Optional<Attempt> findAttempt(String attemptId) {
    return Optional.ofNullable(attempts.get(attemptId));
  }

  private long oldestFresh() {
    return bound.oldestFresh(announcedVersion);
  }
}
