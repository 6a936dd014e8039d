package io.briarward.node.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The rows of a table that were rejected, each with the cause, so that a cause is logged once.
 *
 * <p>A row may be written many times a second. Not thread-safe.
 */
final class RejectedRows {
  private static final int MAX_CAUSE_CHARS = 200;

  private final Map<String, String> causeByKey = new HashMap<>();

  /** Returns the text that is logged for an exception, which may quote the row. */
  static String cause(RuntimeException exception) {
    return Ascii.truncate(exception.toString(), MAX_CAUSE_CHARS, "...");
  }

  /** Adds a row; returns whether it was not yet rejected for this cause. */
  boolean add(String key, String cause) {
    return !checkNotNull(cause, "cause").equals(causeByKey.put(key, cause));
  }

  /** Removes a row that was accepted or deleted. */
  void remove(String key) {
    causeByKey.remove(key);
  }

  /** Removes all rows but the given ones. */
  void retain(Set<String> keys) {
    causeByKey.keySet().retainAll(keys);
  }
}
