package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The requests counted by one process, by window and organisation.
 *
 * <p>Windows are numbered from the Unix epoch. Not thread-safe.
 */
public final class WindowCounts {
  private final long windowMillis;
  private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();
  private final TreeSet<Long> changed = new TreeSet<>();

  private WindowCounts(long windowMillis) {
    checkArgument(windowMillis > 0, "windowMillis is %s, expected > 0", windowMillis);
    this.windowMillis = windowMillis;
  }

  /** Returns empty counts for windows of the given length. */
  public static WindowCounts create(long windowMillis) {
    return new WindowCounts(windowMillis);
  }

  /** Returns the number of the window that contains a wall-clock time. */
  public long window(long wallMillis) {
    return Math.floorDiv(wallMillis, windowMillis);
  }

  /** Returns the wall-clock time at which a window ends. */
  public long endMillis(long window) {
    return (window + 1) * windowMillis;
  }

  /** Counts one request. */
  public void add(String organisation, long wallMillis) {
    long window = window(wallMillis);
    windows.computeIfAbsent(window, unused -> new HashMap<>()).merge(organisation, 1L, Long::sum);
    changed.add(window);
  }

  /** Returns the windows changed since the last call, and resets them to unchanged. */
  public ImmutableSortedSet<Long> takeChanged() {
    ImmutableSortedSet<Long> taken = ImmutableSortedSet.copyOf(changed);
    changed.clear();
    return taken;
  }

  /** Marks a window as changed, after its counts could not be stored. */
  public void markChanged(long window) {
    changed.add(window);
  }

  /** Returns the counts of a window by organisation. */
  public ImmutableMap<String, Long> counts(long window) {
    return ImmutableSortedMap.copyOf(windows.getOrDefault(window, Map.of()));
  }

  /** Removes the windows before the given one. */
  public void forgetBefore(long window) {
    windows.headMap(window).clear();
    changed.headSet(window).clear();
  }
}
