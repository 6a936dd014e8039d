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
 * Runs one shard of a rollout: decides which attempts start and which are cancelled.
 *
 * <p>The owner of the shard calls {@link #poll} now and then and reports what the samplers send.
 * Groups that become complete are collected with {@link #takeCompleted}. Reports about attempts
 * that the planner has given up are ignored. Not thread-safe.
 */
public final class RolloutPlanner {
  private static final long RETRY_BASE_MILLIS = 100;
  private static final long RETRY_MAX_MILLIS = 5_000;
  private static final int RETRY_MAX_DOUBLINGS = 6;
  private static final long SILENCE_TIMEOUT_MILLIS = 30_000;
  private static final long STRAGGLER_CHECK_MILLIS = 250;

  private final String attemptPrefix;
  private final StalenessBound bound;
  private final StragglerPolicy stragglers;
  private final ImmutableMap<Integer, GroupProgress> groups;
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private final StepDistribution step = new StepDistribution();
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
   * Returns a planner for some groups of a rollout.
   *
   * @param attemptPrefix unique over all owners that ever run these groups
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
   * Learns the version that the trainer announced last; older ones are ignored.
   *
   * @param version the announced weight version
   */
  public void announced(long version) {
    announcedVersion = Math.max(announcedVersion, version);
  }

  /** Learns that a group was recorded as complete, perhaps by another owner. */
  public void recorded(int groupIndex, long oldestVersion) {
    GroupProgress group = groups.get(groupIndex);
    boolean useful =
        group != null && group.isRunning() && bound.isFresh(oldestVersion, announcedVersion);
    if (useful) {
      group.complete(oldestVersion);
    }
  }

  /** Learns that a group was delivered. */
  public void delivered(int groupIndex) {
    GroupProgress group = groups.get(groupIndex);
    if (group != null) {
      group.deliver();
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
   * Returns what to do now, cancellations first.
   *
   * @param nowMillis the time
   * @param freeSlots the largest number of dispatches
   */
  public ImmutableList<RolloutAction> poll(long nowMillis, int freeSlots) {
    checkArgument(freeSlots >= 0, "freeSlots is %s, expected >= 0", freeSlots);
    ImmutableList.Builder<RolloutAction> actions = ImmutableList.builder();
    cancelUseless(actions);
    cancelSilent(nowMillis, actions);
    restartLeftBehind();
    int started = dispatchWaiting(nowMillis, freeSlots, actions);
    dispatchExtra(nowMillis, freeSlots - started, actions);
    return actions.build();
  }

  /** Learns which sampler an attempt runs on. */
  public void started(String attemptId, String samplerId) {
    attempt(attemptId).ifPresent(attempt -> attempt.startedOn(samplerId));
  }

  /**
   * Learns of a chunk of an attempt.
   *
   * @param weightVersion the version that produced the chunk, as the engine reported it
   */
  public void chunk(String attemptId, String text, int tokens, long weightVersion, long nowMillis) {
    attempt(attemptId).ifPresent(attempt -> attempt.append(text, tokens, weightVersion, nowMillis));
  }

  /**
   * Learns that an attempt finished.
   *
   * @param finishReason as the engine reported it
   * @return cancellations of the other attempts at the same sample
   */
  public ImmutableList<RolloutAction> finished(
      String attemptId, String finishReason, long nowMillis) {
    Optional<Attempt> found = attempt(attemptId);
    if (found.isEmpty()) {
      return ImmutableList.of();
    }
    Attempt attempt = found.get();
    if (attempt.tokens() == 0) {
      return failed(attemptId, nowMillis);
    }
    remove(attempt);
    if (!attempt.isFresh(oldestFresh())) {
      return ImmutableList.of();
    }
    step.add(attempt.tokens(), attempt.ownTokens(), attempt.elapsedMillis(nowMillis));
    SampleProgress sample = attempt.sample();
    sample.finish(attempt.toSample(finishReason));
    completeIfWhole(sample.group());
    return cancelAll(ImmutableList.copyOf(sample.running()));
  }

  /** Learns that an attempt broke off; its tokens are kept for the next attempt. */
  public ImmutableList<RolloutAction> failed(String attemptId, long nowMillis) {
    Optional<Attempt> found = attempt(attemptId);
    found.ifPresent(attempt -> retry(attempt, nowMillis));
    return ImmutableList.of();
  }

  /** Learns that no sampler could take an attempt; the sample waits for another turn. */
  public void notStarted(String attemptId, long nowMillis) {
    Optional<Attempt> found = attempt(attemptId);
    found.ifPresent(
        attempt -> {
          remove(attempt);
          attempt.sample().postpone(nowMillis + RETRY_BASE_MILLIS);
        });
  }

  /** Returns the groups that became complete since the last call. */
  public ImmutableList<CompletedGroup> takeCompleted() {
    ImmutableList<CompletedGroup> taken = ImmutableList.copyOf(completed);
    completed.clear();
    return taken;
  }

  /** Returns cancellations of everything in flight, for a shard that is given up. */
  public ImmutableList<RolloutAction> cancelAll() {
    return cancelAll(ImmutableList.copyOf(attempts.values()));
  }

  private ImmutableList<RolloutAction> cancelAll(ImmutableList<Attempt> useless) {
    useless.forEach(this::remove);
    return useless.stream()
        .map(attempt -> new RolloutAction.Cancel(attempt.id()))
        .collect(ImmutableList.toImmutableList());
  }

  private void cancelUseless(ImmutableList.Builder<RolloutAction> actions) {
    long oldest = oldestFresh();
    ImmutableList<Attempt> useless =
        attempts.values().stream()
            .filter(each -> !each.sample().group().isRunning() || !each.isFresh(oldest))
            .collect(ImmutableList.toImmutableList());
    actions.addAll(cancelAll(useless));
  }

  private void cancelSilent(long nowMillis, ImmutableList.Builder<RolloutAction> actions) {
    ImmutableList<Attempt> silent =
        attempts.values().stream()
            .filter(attempt -> attempt.silentMillis(nowMillis) > SILENCE_TIMEOUT_MILLIS)
            .collect(ImmutableList.toImmutableList());
    for (Attempt attempt : silent) {
      retry(attempt, nowMillis);
      actions.add(new RolloutAction.Cancel(attempt.id()));
    }
  }

  private void restartLeftBehind() {
    long oldest = oldestFresh();
    for (GroupProgress group : groups.values()) {
      if (group.isLeftBehind(oldest)) {
        group.restart();
      }
      group.samples().stream()
          .filter(sample -> sample.result().isPresent())
          .filter(sample -> sample.result().get().oldestVersion() < oldest)
          .forEach(SampleProgress::restart);
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

  private void dispatchExtra(
      long nowMillis, int freeSlots, ImmutableList.Builder<RolloutAction> actions) {
    int allowed = Math.min(freeSlots, extraBudget - extraStarted);
    if (allowed <= 0 || nowMillis < nextStragglerCheckAtMillis) {
      return;
    }
    nextStragglerCheckAtMillis = nowMillis + STRAGGLER_CHECK_MILLIS;
    ImmutableList<Attempt> slow =
        attempts.values().stream()
            .filter(attempt -> attempt.sample().running().size() == 1)
            .filter(attempt -> stragglers.isStraggler(attempt, step, nowMillis))
            .sorted(
                Comparator.comparingDouble(
                    attempt -> -stragglers.remainingMillis(attempt, step, nowMillis)))
            .limit(allowed)
            .collect(ImmutableList.toImmutableList());
    for (Attempt attempt : slow) {
      attempt.sample().avoid(attempt.sampler());
      actions.add(dispatch(attempt.sample(), attempt.prefix(), nowMillis));
      extraStarted++;
    }
  }

  private RolloutAction dispatch(SampleProgress sample, Prefix available, long nowMillis) {
    long preferred = bound.oldestWorthStarting(announcedVersion);
    int maxTokens = sample.sampling().maxTokens();
    Prefix prefix = available.unlessOlderThan(preferred).unlessAsLongAs(maxTokens);
    String attemptId = attemptPrefix + "." + attemptCount;
    attemptCount++;
    Attempt attempt = Attempt.start(attemptId, sample, prefix, nowMillis);
    attempts.put(attemptId, attempt);
    sample.running().add(attempt);
    return new RolloutAction.Dispatch(
        attemptId,
        sample.id(),
        sample.group().spec().prompt(),
        sample.sampling(),
        prefix.text(),
        prefix.tokens(),
        oldestFresh(),
        preferred,
        sample.avoided());
  }

  private void retry(Attempt attempt, long nowMillis) {
    remove(attempt);
    SampleProgress sample = attempt.sample();
    sample.avoid(attempt.sampler());
    int doublings = Math.min(sample.failures(), RETRY_MAX_DOUBLINGS);
    long delayMillis = Math.min(RETRY_MAX_MILLIS, RETRY_BASE_MILLIS << doublings);
    sample.retry(attempt.prefix(), delayMillis, nowMillis);
  }

  private void completeIfWhole(GroupProgress group) {
    Optional<GroupResult> result = group.result();
    if (result.isPresent()) {
      completed.add(new CompletedGroup(group.index(), result.get()));
      group.complete(result.get().oldestVersion());
    }
  }

  private void remove(Attempt attempt) {
    attempts.remove(attempt.id());
    attempt.sample().running().remove(attempt);
  }

  private Optional<Attempt> attempt(String attemptId) {
    return Optional.ofNullable(attempts.get(attemptId));
  }

  private long oldestFresh() {
    return bound.oldestFresh(announcedVersion);
  }
}
