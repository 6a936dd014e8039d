package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;

/**
 * Decides in which order a VM loads the batches that it is to run and how many at a time.
 *
 * <p>Answers the load after the loss of all VMs: each VM then finds several batches at once. If it
 * loads all of them at the same time, the one that is due first starts as late as the last one, and
 * those that nobody waits for any more delay the others.
 */
public final class TakeoverOrder {
  /** The submission of one batch can be read while another one is decoded. */
  public static final int MAX_LOADING = 2;

  private TakeoverOrder() {}

  /**
   * Returns the batches to load now, first those due first; those past the end of their wait follow
   * all others.
   *
   * @param waiting the heads of the batches that this VM is to run and does not load yet
   * @param loading the number of batches that this VM loads at present
   * @param nowMillis the time of the store's clock, in milliseconds
   */
  public static ImmutableList<BatchHead> next(
      Collection<BatchHead> waiting, int loading, long nowMillis) {
    checkArgument(loading >= 0, "loading is %s, expected >= 0", loading);
    return waiting.stream()
        .sorted(
            Comparator.comparing((BatchHead head) -> nowMillis >= head.abandonAtMillis())
                .thenComparingLong(BatchHead::dueAtMillis)
                .thenComparing(BatchHead::id))
        .limit(Math.max(0, MAX_LOADING - loading))
        .collect(toImmutableList());
  }
}
