package io.briarward.node.telemetry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Limits the log lines about errors that others can cause at any rate.
 *
 * <p>The first error of a kind is logged at once. Later ones are counted, and the count is logged
 * with the first one after an interval. The number of kinds is bounded; errors of further kinds are
 * counted as one kind. Thread-safe.
 */
public final class RepeatedErrors {
  /** The kind of all errors above the maximum number of kinds. */
  private static final String OTHER = "other";

  private static final int MAX_KINDS = 64;

  private final long intervalMillis;
  private final Map<String, Kind> kinds = new LinkedHashMap<>();

  private static final class Kind {
    long loggedAtMillis;
    long total;
    long unlogged;
  }

  private RepeatedErrors(long intervalMillis) {
    this.intervalMillis = intervalMillis;
  }

  /**
   * Creates a limit without errors.
   *
   * @param intervalMillis the minimum time between two lines of a kind, in milliseconds, > 0
   */
  public static RepeatedErrors withInterval(long intervalMillis) {
    checkArgument(intervalMillis > 0, "intervalMillis is %s, expected > 0", intervalMillis);
    return new RepeatedErrors(intervalMillis);
  }

  /**
   * Counts an error.
   *
   * @param kind names errors of the same cause; must not contain values that the sender chooses
   * @return the number of errors since the last line of the kind, including this one, if a line is
   *     to be logged; empty otherwise
   */
  public synchronized OptionalLong onError(String kind, long nowMillis) {
    checkNotNull(kind, "kind");
    String counted = kinds.containsKey(kind) || kinds.size() < MAX_KINDS ? kind : OTHER;
    Kind state = kinds.computeIfAbsent(counted, unused -> new Kind());
    state.total++;
    state.unlogged++;
    if (state.total > 1 && nowMillis - state.loggedAtMillis < intervalMillis) {
      return OptionalLong.empty();
    }
    long errors = state.unlogged;
    state.loggedAtMillis = nowMillis;
    state.unlogged = 0;
    return OptionalLong.of(errors);
  }

  /** Returns the number of errors of each kind. */
  public synchronized ImmutableMap<String, Long> totals() {
    return kinds.entrySet().stream()
        .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, entry -> entry.getValue().total));
  }
}
