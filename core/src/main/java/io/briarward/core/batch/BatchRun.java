package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Schedules the items of a batch and collects the output of each item until it is listed.
 *
 * <p>Items start in descending order of expected length. A group is useful only once all its items
 * are listed. Lengths differ by a factor of a hundred, and the longest item takes most of a batch's
 * time, so starting it late would delay its whole group. Items of equal expected length start in
 * the order of submission. An item whose run was interrupted resumes after its last event if the
 * next sampler has the software version that began the text, since the outputs of two versions do
 * not fit together, and begins anew otherwise. Not thread-safe.
 */
public final class BatchRun {
  /**
   * The delay before an item runs again after an interrupted or failed run; enough to reset the
   * item.
   */
  private static final long RETRY_DELAY_MILLIS = 20;

  /** An item that samplers reject again and again is tried about once a second. */
  private static final int MAX_REJECTION_DOUBLINGS = 6;

  /**
   * How long an interrupted text waits for a sampler of its software version to have room before it
   * begins anew on another one, in milliseconds; a few events are generated again sooner.
   */
  private static final long MAX_RESUME_WAIT_MILLIS = 500;

  private final BatchSpec spec;
  private final RewardQueue rewards = new RewardQueue();
  private final BatchGroups groups;
  private final int maxAttempts;
  private final boolean singleVersion;
  private final TextMemory memory;

  /** The items without a result, in the order in which they start. */
  private final Map<String, BatchItem> items = new LinkedHashMap<>();

  /** The progress of those items that have started; most items of a large batch have not. */
  private final Map<String, ItemProgress> started = new HashMap<>();

  private final ArrayDeque<ItemResult> finished = new ArrayDeque<>();
  private final ExpectedLength expectedLength;
  private int running;

  private BatchRun(
      BatchSpec spec, BatchTerms terms, ImmutableSet<String> listed, TextMemory memory) {
    this.spec = checkNotNull(spec, "spec");
    this.maxAttempts = terms.maxAttempts();
    this.singleVersion = terms.singleVersion();
    this.memory = checkNotNull(memory, "memory");
    this.expectedLength = ExpectedLength.of(spec.items());
    spec.items().stream()
        .filter(item -> !listed.contains(item.id()))
        .sorted(Comparator.comparingDouble(expectedLength::tokens).reversed())
        .forEach(item -> items.put(item.id(), item));
    this.groups = new BatchGroups(spec, items.values());
  }

  /**
   * Creates a run of the items that have no listed result.
   *
   * @param listed the ids of the items that have a listed result
   * @param memory the memory of the unfinished texts, which all runs of a process share
   */
  public static BatchRun create(
      BatchSpec spec, BatchTerms terms, ImmutableSet<String> listed, TextMemory memory) {
    return new BatchRun(spec, terms, listed, memory);
  }

  /**
   * An item to send to a sampler.
   *
   * @param resumeAfter the id of the last received event, after which the sampler resumes; empty to
   *     start from the first event
   */
  public record Dispatch(BatchItem item, OptionalLong resumeAfter) {}

  /** Returns whether any item waits to start, now or after a delay. */
  public boolean hasWaiting() {
    return waiting() > 0;
  }

  /** Returns the number of items that wait to start, now or after a delay. */
  public int waiting() {
    return items.size() - running - rewards.size();
  }

  /** Returns the number of tokens an item is expected to generate, 0 if unknown. */
  public long expectedTokens(BatchItem item) {
    return Math.round(expectedLength.tokens(item));
  }

  /**
   * Returns the standing of each group with unfinished items; those that lost an item can never be
   * complete, so they are not needed.
   *
   * @param leftMillis the time until the batch is due, negative if that time has passed
   */
  public ImmutableMap<String, GroupStanding> standings(long leftMillis, RunPace pace) {
    Map<String, Double> remainingTokensByGroup = new LinkedHashMap<>();
    Map<String, GroupStanding> standings = new HashMap<>();
    for (BatchItem item : items.values()) {
      String group = item.group();
      if (groups.hasLoss(group)) {
        standings.put(group, GroupStanding.SURPLUS);
      } else {
        remainingTokensByGroup.merge(group, remainingTokens(item, pace), Math::max);
      }
    }
    standings.putAll(
        GroupRanking.rank(
            ImmutableMap.copyOf(remainingTokensByGroup), neededGroups(), leftMillis, pace));
    return ImmutableMap.copyOf(standings);
  }

  /** Returns the number of groups that the caller still waits for. */
  public int neededGroups() {
    return groups.needed();
  }

  /** Returns the time that the rest of an item without a result needs, in milliseconds. */
  public long neededMillis(String itemId, RunPace pace) {
    return pace.neededMillis(remainingTokens(item(itemId), pace));
  }

  private double remainingTokens(BatchItem item, RunPace pace) {
    Optional<ItemProgress> progress = progress(item.id());
    boolean unscored =
        progress.map(each -> each.state() == ItemProgress.State.UNSCORED).orElse(false);
    return unscored
        ? 0
        : pace.remainingTokens(
            expectedTokens(item), progress.map(ItemProgress::eventCount).orElse(0));
  }

  /**
   * Returns the items that can start now, in the order in which to start them: an item that
   * samplers rejected follows those that they rejected less often in a row.
   */
  public ImmutableList<BatchItem> startable(long nowMillis) {
    Stream<BatchItem> startable = items.values().stream().filter(item -> canStart(item, nowMillis));
    boolean anyRejected = started.values().stream().anyMatch(each -> each.rejections() > 0);
    Stream<BatchItem> ordered =
        anyRejected ? startable.sorted(Comparator.comparingInt(this::rejections)) : startable;
    return ordered.collect(ImmutableList.toImmutableList());
  }

  private int rejections(BatchItem item) {
    ItemProgress progress = started.get(item.id());
    return progress == null ? 0 : progress.rejections();
  }

  private boolean canStart(BatchItem item, long nowMillis) {
    ItemProgress progress = started.get(item.id());
    return progress == null || progress.canStart(nowMillis);
  }

  /**
   * Returns the software version at which an item's text can be resumed; empty if it begins anew
   * anywhere.
   */
  public Optional<String> resumableAt(String itemId) {
    return progress(itemId).flatMap(ItemProgress::softwareVersion);
  }

  /**
   * Returns whether an interrupted text has waited long enough for a sampler of its software
   * version, so that it begins anew if another sampler has room.
   */
  public boolean hasWaitedToResume(String itemId, long nowMillis) {
    return progress(itemId)
        .map(each -> nowMillis >= each.notBeforeMillis() + MAX_RESUME_WAIT_MILLIS)
        .orElse(true);
  }

  /**
   * Starts an item that {@link #startable} returned.
   *
   * @param softwareVersion the software version of the sampler
   */
  public Dispatch start(String itemId, String softwareVersion) {
    final BatchItem item = item(itemId);
    ItemProgress progress =
        started.computeIfAbsent(itemId, unused -> new ItemProgress(itemId, singleVersion, memory));
    checkArgument(progress.state() == ItemProgress.State.WAITING, "item %s is not waiting", itemId);
    progress.start(softwareVersion);
    running++;
    return new Dispatch(item, progress.lastEventId());
  }

  /**
   * Handles the weight version with which a run starts.
   *
   * @return whether the run may continue; if not, the caller must end it and call {@link
   *     #onInterrupted}
   */
  public boolean onVersion(String itemId, long version) {
    return startedItem(itemId).onVersion(version, spec.minVersion());
  }

  /**
   * Handles an event of a run.
   *
   * @return whether the run may continue; if not, the caller must end it and call {@link
   *     #onInterrupted}
   */
  public boolean onEvent(String itemId, SampleEvent event) {
    return startedItem(itemId).onEvent(event);
  }

  /**
   * Handles the regular end of an item's stream; the item succeeds or waits for its score, or
   * begins anew if its text was dropped for want of memory.
   */
  public void onComplete(String itemId) {
    running--;
    ItemProgress progress = startedItem(itemId);
    BatchItem item = item(itemId);
    if (progress.textDropped()) {
      progress.waitUntil(progress.notBeforeMillis());
    } else if (item.rewardCall().isPresent()) {
      progress.onTextComplete();
      rewards.add(item);
    } else {
      addResult(item, progress.finish());
    }
  }

  /**
   * Returns the next item whose text is to be scored, without starting the call.
   *
   * @param allowed a further condition on the item
   */
  public Optional<BatchItem> nextReward(long nowMillis, Predicate<BatchItem> allowed) {
    return rewards.next(nowMillis, groups::unfinished, allowed);
  }

  /** Returns the number of items whose text is complete and has no score. */
  public int unscored() {
    return rewards.size();
  }

  /** Handles the start of the reward call of an item that {@link #nextReward} returned. */
  public void onRewardStarted(String itemId) {
    rewards.onStarted(itemId);
  }

  /** Handles the score of an item's text; the item succeeds. */
  public void onScored(String itemId, String score) {
    rewards.remove(itemId);
    addResult(item(itemId), startedItem(itemId).finish().withScore(score));
  }

  /** Handles a reward call that did not run or whose response was lost; it is repeated. */
  public void onRewardInterrupted(String itemId, long nowMillis) {
    rewards.onInterrupted(itemId, nowMillis);
  }

  /**
   * Handles a reward call that its service failed.
   *
   * @param maxFailures the number of failed calls after which the item fails
   */
  public void onRewardFailed(String itemId, int maxFailures, long nowMillis) {
    if (rewards.onFailed(itemId, nowMillis) >= maxFailures) {
      fail(item(itemId));
    }
  }

  /** Handles an interrupted run, which does not count as a failure of the item. */
  public void onInterrupted(String itemId, long nowMillis) {
    running--;
    startedItem(itemId).waitUntil(nowMillis + RETRY_DELAY_MILLIS);
  }

  /**
   * Handles a run that the sampler rejected, which does not count as a failure of the item. After
   * several rejections in a row the item waits longer, and others of the batch start first.
   */
  public void onRejected(String itemId, long nowMillis) {
    running--;
    ItemProgress progress = startedItem(itemId);
    int doublings = Math.min(progress.rejections(), MAX_REJECTION_DOUBLINGS);
    progress.onRejection();
    progress.waitUntil(nowMillis + (RETRY_DELAY_MILLIS << doublings));
  }

  /** Handles a failed run. The item fails once {@code maxAttempts} of its runs have failed. */
  public void onFailed(String itemId, long nowMillis) {
    running--;
    ItemProgress progress = startedItem(itemId);
    progress.onFailure();
    if (progress.failures() >= maxAttempts) {
      fail(item(itemId));
    } else {
      progress.waitUntil(nowMillis + RETRY_DELAY_MILLIS);
    }
  }

  /** Handles an item that can never succeed; it fails at once. */
  public void onImpossible(String itemId) {
    running--;
    fail(item(itemId));
  }

  /**
   * Fails all items that wait for a run or a score; call again to fail items whose runs or calls
   * are interrupted later.
   */
  public void failWaiting() {
    ImmutableList.copyOf(items.values()).stream()
        .filter(
            item ->
                progress(item.id())
                        .map(each -> each.state() == ItemProgress.State.WAITING)
                        .orElse(true)
                    || rewards.isWaiting(item.id()))
        .forEach(this::fail);
  }

  /** Returns the number of running items. */
  public int running() {
    return running;
  }

  /** Returns the number of items without a result. */
  public int unfinished() {
    return items.size();
  }

  /** Returns whether any result waits to be listed. */
  public boolean hasResults() {
    return !finished.isEmpty();
  }

  /** Returns up to {@code limit} results to list next, without removing them. */
  public ImmutableList<ItemResult> results(int limit) {
    return finished.stream().limit(limit).collect(ImmutableList.toImmutableList());
  }

  /** Removes the first {@code count} results, which were listed. */
  public void removeResults(int count) {
    for (int i = 0; i < count; i++) {
      finished.remove();
    }
  }

  /** Discards all unfinished texts, since the process no longer runs the batch. */
  public void discardTexts() {
    started.values().forEach(ItemProgress::discardOutput);
  }

  private void fail(BatchItem item) {
    rewards.remove(item.id());
    groups.onLoss(item);
    addResult(item, progress(item.id()).map(ItemProgress::fail).orElse(ItemResult.lost(item.id())));
  }

  private void addResult(BatchItem item, ItemResult result) {
    finished.add(result);
    items.remove(item.id());
    started.remove(item.id());
    groups.onResult(item);
  }

  private BatchItem item(String itemId) {
    BatchItem item = items.get(itemId);
    checkArgument(item != null, "item %s is unknown or already has a result", itemId);
    return item;
  }

  /** Returns the progress of an item; empty if it has not started. */
  private Optional<ItemProgress> progress(String itemId) {
    return Optional.ofNullable(started.get(itemId));
  }

  private ItemProgress startedItem(String itemId) {
    ItemProgress progress = started.get(itemId);
    checkArgument(progress != null, "item %s has not started or already has a result", itemId);
    return progress;
  }
}
