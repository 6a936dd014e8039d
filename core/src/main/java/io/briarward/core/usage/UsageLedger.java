package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The cumulative counters of one incarnation, by window and key.
 *
 * <p>Each record gets the next sequence number, and each counter keeps the number of its last
 * change, so that all changes after a sequence number can be listed. Not thread-safe.
 */
public final class UsageLedger {
  private final UsageSettings settings;
  private final NavigableMap<Long, Map<UsageKey, CopyEntry>> byWindow = new TreeMap<>();
  private final NavigableMap<Long, CopyEntry> bySequence = new TreeMap<>();
  private long lastSequence;
  private long openWindowMillis;

  private UsageLedger(UsageSettings settings, long epochMillis) {
    this.settings = checkNotNull(settings, "settings");
    this.openWindowMillis = settings.windowStartMillis(epochMillis);
  }

  /** Returns an empty ledger whose first open window contains {@code epochMillis}. */
  public static UsageLedger create(UsageSettings settings, long epochMillis) {
    return new UsageLedger(settings, epochMillis);
  }

  /**
   * Adds to a counter of the window that contains {@code epochMillis}, and closes earlier windows.
   * If that window is closed, adds to the open window instead.
   *
   * @return the sequence number of the record
   */
  public long record(long epochMillis, UsageKey key, UsageAmounts amounts) {
    openWindowMillis = Math.max(openWindowMillis, settings.windowStartMillis(epochMillis));
    Map<UsageKey, CopyEntry> window =
        byWindow.computeIfAbsent(openWindowMillis, unused -> new HashMap<>());
    CopyEntry before = window.get(key);
    lastSequence++;
    UsageAmounts after = before == null ? amounts : before.amounts().plus(amounts);
    CopyEntry entry = new CopyEntry(openWindowMillis, key, after, lastSequence);
    window.put(key, entry);
    if (before != null) {
      bySequence.remove(before.sequence());
    }
    bySequence.put(lastSequence, entry);
    return lastSequence;
  }

  /** Closes every window that starts before {@code windowStartMillis}. */
  public void closeBefore(long windowStartMillis) {
    checkArgument(
        windowStartMillis % settings.windowMillis() == 0,
        "windowStartMillis is %s, expected a multiple of %s",
        windowStartMillis,
        settings.windowMillis());
    openWindowMillis = Math.max(openWindowMillis, windowStartMillis);
  }

  /** Returns the sequence number of the last record, or 0 before the first. */
  public long lastSequence() {
    return lastSequence;
  }

  /** Returns the start of the earliest window that still accepts records. */
  public long openWindowMillis() {
    return openWindowMillis;
  }

  /** Returns the counters that changed after the given sequence number. */
  public ImmutableList<CopyEntry> changedAfter(long sequence) {
    return bySequence.tailMap(sequence, false).values().stream().collect(toImmutableList());
  }

  /** Returns the start times of the windows that have counters. */
  public ImmutableSortedSet<Long> windows() {
    return ImmutableSortedSet.copyOf(byWindow.keySet());
  }

  /** Returns the counters of a window. */
  public UsageTotals totals(long windowStartMillis) {
    Map<UsageKey, UsageAmounts> amounts = new HashMap<>();
    byWindow
        .getOrDefault(windowStartMillis, Map.of())
        .forEach((key, entry) -> amounts.put(key, entry.amounts()));
    return UsageTotals.copyOf(amounts);
  }

  /** Removes the counters of a window; call it once they are sealed in the table service. */
  public void forget(long windowStartMillis) {
    Map<UsageKey, CopyEntry> window = byWindow.remove(windowStartMillis);
    if (window != null) {
      window.values().forEach(entry -> bySequence.remove(entry.sequence()));
    }
  }
}
