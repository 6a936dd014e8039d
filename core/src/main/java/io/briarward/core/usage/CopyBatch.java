package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * The counters of an incarnation that changed within a range of sequence numbers.
 *
 * @param incarnation the incarnation that counted
 * @param afterSequence the last sequence number acknowledged by the receiver or covered by the
 *     table service
 * @param sequence the last sequence number that the batch covers
 * @param flushedSequence the sequence number up to which the table service has the counters
 * @param entries the values of the changed counters
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
