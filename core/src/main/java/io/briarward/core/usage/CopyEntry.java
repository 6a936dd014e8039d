package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The state of one cumulative counter.
 *
 * @param windowStartMillis the start of its window, in milliseconds since the Unix epoch
 * @param key what it counts
 * @param amounts everything counted in the window so far
 * @param sequence the number of the record that changed it last, above 0
 */
public record CopyEntry(long windowStartMillis, UsageKey key, UsageAmounts amounts, long sequence) {
  /** Checks the fields. */
  public CopyEntry {
    checkNotNull(key, "key");
    checkNotNull(amounts, "amounts");
    checkArgument(sequence > 0, "sequence is %s, expected > 0", sequence);
  }
}
