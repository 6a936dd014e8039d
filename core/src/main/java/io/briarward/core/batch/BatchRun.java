package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.ToDoubleFunction;

/**
 * Decides which item of a batch runs next, and collects the text of each until it can be listed.
 *
 * <p>Items start in the order of their expected length, the longest first. A group counts once all
 * its items are listed, lengths differ a hundredfold, and the longest takes most of the time that a
 * batch has, so a group whose longest item started late would be late too. Items that are expected
 * to be equally long start in the order of the submission. An item whose run broke off goes on
 * after its last event. Not thread-safe.
 */
public final class BatchRun {
  /** How long an item waits after a run that broke off, in milliseconds; enough to reset it. */
  private static final long RETRY_DELAY_MILLIS = 20;

  private final BatchSpec spec;
  private final int maxAttempts;
  private final Map<String, ItemProgress> items = new LinkedHashMap<>();
  private final ArrayDeque<ItemResult> finished = new ArrayDeque<>();
  private final ToDoubleFunction<BatchItem> expectedLength;
  private int running;

  private BatchRun(BatchSpec spec, BatchTerms terms, ImmutableSet<String> listed) {
    this.spec = checkNotNull(spec, "spec");
    this.maxAttempts = terms.maxAttempts();
    this.expectedLength = expectedLength(spec.items());
    spec.items().stream()
        .filter(item -> !listed.contains(item.id()))
        .sorted(Comparator.comparingDouble(expectedLength).reversed())
        .forEach(item -> items.put(item.id(), new ItemProgress(item, terms.singleVersion())));
  }

  /** Returns the estimate of an item, or the mean of the others' if it has none. */
  private static ToDoubleFunction<BatchItem> expectedLength(ImmutableList<BatchItem> items) {
    double meanTokens =
        items.stream()
            .mapToInt(BatchItem::expectedTokens)
            .filter(tokens -> tokens > 0)
            .average()
            .orElse(0);
    return item -> item.expectedTokens() > 0 ? item.expectedTokens() : meanTokens;
  }

  /**
   * Returns a run of the items that are not listed yet.
   *
   * @param listed the ids of the items that have a result
   */
  public static BatchRun create(BatchSpec spec, BatchTerms terms, ImmutableSet<String> listed) {
    return new BatchRun(spec, terms, listed);
  }

  /**
   * What to send to a sampler.
   *
   * @param resumeAfter the id of the last event that is known
   */
  public record Dispatch(BatchItem item, OptionalLong resumeAfter) {}

  /** Returns whether items wait to be started, now or after a delay. */
  public boolean waiting() {
    return running < items.size();
  }

  /** Returns how many tokens an item is expected to generate, 0 if nothing is known. */
  public long expectedTokens(BatchItem item) {
    return Math.round(expectedLength.applyAsDouble(item));
  }

  /** Returns the item that is to start next, without starting it. */
  public Optional<BatchItem> next(long nowMillis) {
    return items.values().stream()
        .filter(progress -> progress.mayStart(nowMillis))
        .findFirst()
        .map(ItemProgress::item);
  }

  /** Starts an item that {@link #next} returned. */
  public Dispatch start(String itemId) {
    ItemProgress progress = progress(itemId);
    checkArgument(progress.state() == ItemProgress.State.WAITING, "%s is not waiting", itemId);
    progress.start();
    running++;
    return new Dispatch(progress.item(), progress.lastEventId());
  }

  /**
   * Notes the version that a run begins with.
   *
   * @return whether the run may go on; otherwise it is to be ended and reported as broken
   */
  public boolean onVersion(String itemId, long version) {
    return progress(itemId).onVersion(version, spec.minVersion());
  }

  /**
   * Adds an event.
   *
   * @return whether the run may go on; otherwise it is to be ended and reported as broken
   */
  public boolean onEvent(String itemId, SampleEvent event) {
    return progress(itemId).onEvent(event);
  }

  /** Notes that an item's stream is complete. */
  public void onComplete(String itemId) {
    running--;
    finished.add(progress(itemId).finish());
    items.remove(itemId);
  }

  /** Notes that a run broke off or was refused, which does not count as a failure of the item. */
  public void onBroken(String itemId, long nowMillis) {
    running--;
    progress(itemId).waitUntil(nowMillis + RETRY_DELAY_MILLIS);
  }

  /** Notes that a sampler failed to run an item, which is lost once it failed too often. */
  public void onFailed(String itemId, long nowMillis) {
    running--;
    ItemProgress progress = progress(itemId);
    progress.onFailure();
    if (progress.failures() >= maxAttempts) {
      lose(progress);
    } else {
      progress.waitUntil(nowMillis + RETRY_DELAY_MILLIS);
    }
  }

  /** Notes that an item can never be done. */
  public void onImpossible(String itemId) {
    running--;
    lose(progress(itemId));
  }

  /** Gives up all items that do not run; runs that end later than that are given up as they end. */
  public void giveUpWaiting() {
    ImmutableList.copyOf(items.values()).stream()
        .filter(progress -> progress.state() == ItemProgress.State.WAITING)
        .forEach(this::lose);
  }

  /** Returns the number of items that run. */
  public int running() {
    return running;
  }

  /** Returns the number of items without a result. */
  public int unfinished() {
    return items.size();
  }

  /** Returns whether results wait to be listed. */
  public boolean hasResults() {
    return !finished.isEmpty();
  }

  /** Returns the next results to be listed, without removing them. */
  public ImmutableList<ItemResult> results(int limit) {
    return finished.stream().limit(limit).collect(ImmutableList.toImmutableList());
  }

  /** Removes results that were listed. */
  public void removeResults(int count) {
    for (int i = 0; i < count; i++) {
      finished.remove();
    }
  }

  private void lose(ItemProgress progress) {
    finished.add(progress.lose());
    items.remove(progress.item().id());
  }

  private ItemProgress progress(String itemId) {
    ItemProgress progress = items.get(itemId);
    checkArgument(progress != null, "%s is not open", itemId);
    return progress;
  }
}
