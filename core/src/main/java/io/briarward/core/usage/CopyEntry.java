package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The value of one cumulative counter at one sequence number.
 *
 * @param windowStartMillis the start of its window, in milliseconds since the Unix epoch
 * @param key the key of the counter
 * @param amounts the total counted in the window so far
 * @param sequence the sequence number of the last record that changed the counter, above 0
 */
public record CopyEntry(long windowStartMillis, UsageKey key, UsageAmounts amounts, long sequence) {
  /** Checks the fields. */
  public CopyEntry {
    checkNotNull(key, "key");
    checkNotNull(amounts, "amounts");
    checkArgument(sequence > 0, "sequence is %s, expected > 0", sequence);
  }
}
