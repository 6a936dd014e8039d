package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Chooses which complete text of a batch is scored next.
 *
 * <p>The load is a group of texts that end together while other groups are incomplete. A group is
 * useful only once all its texts have a score, so texts of the group with the fewest unfinished
 * items come first, and otherwise those that ended first. A call that was rejected or broke off is
 * repeated after a delay that doubles. Not thread-safe.
 */
final class RewardQueue {
  private static final long FIRST_RETRY_DELAY_MILLIS = 50;
  private static final int MAX_DELAY_DOUBLINGS = 4;

  private final Map<String, Entry> entries = new LinkedHashMap<>();

  private static final class Entry {
    final BatchItem item;
    boolean inFlight;
    int interruptions;
    int failures;
    long notBeforeMillis = Long.MIN_VALUE;

    Entry(BatchItem item) {
      this.item = item;
    }
  }

  /** Adds an item whose text is complete. */
  void add(BatchItem item) {
    checkArgument(item.rewardCall().isPresent(), "item %s has no reward call", item.id());
    entries.put(item.id(), new Entry(item));
  }

  /** Returns the number of texts without a score. */
  int size() {
    return entries.size();
  }

  /** Returns whether the text of an item waits for its score and no call is in flight. */
  boolean isWaiting(String itemId) {
    Entry entry = entries.get(itemId);
    return entry != null && !entry.inFlight;
  }

  /**
   * Returns the next item to score, without starting its call.
   *
   * @param unfinishedInGroup returns the number of items of a group without a result
   * @param allowed a further condition on the item
   */
  Optional<BatchItem> next(
      long nowMillis, ToIntFunction<String> unfinishedInGroup, Predicate<BatchItem> allowed) {
    return entries.values().stream()
        .filter(entry -> !entry.inFlight && nowMillis >= entry.notBeforeMillis)
        .filter(entry -> allowed.test(entry.item))
        .min(Comparator.comparingInt(entry -> unfinishedInGroup.applyAsInt(entry.item.group())))
        .map(entry -> entry.item);
  }

  /** Handles the start of a call. */
  void onStarted(String itemId) {
    Entry entry = entry(itemId);
    checkState(!entry.inFlight, "a call for item %s is in flight", itemId);
    entry.inFlight = true;
  }

  /** Handles a call that did not run, or whose outcome is not known; it is repeated. */
  void onInterrupted(String itemId, long nowMillis) {
    Entry entry = entry(itemId);
    entry.inFlight = false;
    long delayMillis =
        FIRST_RETRY_DELAY_MILLIS << Math.min(entry.interruptions, MAX_DELAY_DOUBLINGS);
    entry.interruptions++;
    entry.notBeforeMillis = nowMillis + delayMillis;
  }

  /** Handles a call that the service failed; returns how often it has failed. */
  int onFailed(String itemId, long nowMillis) {
    onInterrupted(itemId, nowMillis);
    return ++entry(itemId).failures;
  }

  /** Removes an item that has a result. */
  void remove(String itemId) {
    entries.remove(itemId);
  }

  private Entry entry(String itemId) {
    Entry entry = entries.get(itemId);
    checkArgument(entry != null, "item %s does not wait for a score", itemId);
    return entry;
  }
}
