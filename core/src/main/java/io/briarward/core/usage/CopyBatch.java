package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Every counter of an incarnation that changed after one sequence number, up to another.
 *
 * @param incarnation the incarnation that counted
 * @param afterSequence the last sequence number that the receiver is known to have
 * @param sequence the last sequence number that the batch covers
 * @param flushedSequence up to where the table service has the counters
 * @param entries the states of the changed counters
 */
public record CopyBatch(
    String incarnation,
    long afterSequence,
    long sequence,
    long flushedSequence,
    ImmutableList<CopyEntry> entries) {
  /** Checks the fields. */
  public CopyBatch {
    checkArgument(!incarnation.isEmpty(), "incarnation is empty");
    checkArgument(
        sequence >= afterSequence, "sequence is %s, expected >= %s", sequence, afterSequence);
    checkNotNull(entries, "entries");
  }
}
