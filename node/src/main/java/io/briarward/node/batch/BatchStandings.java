package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableMultiset;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.BatchRun;
import io.briarward.core.batch.GroupStanding;
import io.briarward.core.batch.UrgencyClass;
import java.util.OptionalInt;
import java.util.function.Supplier;

/**
 * The standings of the groups of one batch at present, and the urgency classes that follow.
 *
 * <p>Confined to the event loop.
 */
final class BatchStandings {
  private static final long MIN_LOG_INTERVAL_MILLIS = 500;

  private final BatchContext context;
  private final String batchId;
  private final BatchRun run;
  private final Supplier<BatchHead> head;
  private ImmutableMap<String, GroupStanding> standings = ImmutableMap.of();
  private long updatedAtMillis = Long.MIN_VALUE;
  private ImmutableMultiset<GroupStanding> logged = ImmutableMultiset.of();
  private long nextLogMillis = Long.MIN_VALUE;

  BatchStandings(BatchContext context, String batchId, BatchRun run, Supplier<BatchHead> head) {
    this.context = checkNotNull(context, "context");
    this.batchId = checkNotNull(batchId, "batchId");
    this.run = checkNotNull(run, "run");
    this.head = checkNotNull(head, "head");
  }

  /** Ranks the groups, at most once a millisecond, since all turns of a step share one ranking. */
  void update() {
    long nowMillis = context.nowMillis();
    if (nowMillis != updatedAtMillis) {
      updatedAtMillis = nowMillis;
      standings = run.standings(leftMillis(), context.pace());
      logChange(nowMillis);
    }
  }

  /** Returns the standing of an item's group. */
  GroupStanding of(BatchItem item) {
    return standings.getOrDefault(item.group(), GroupStanding.SURPLUS);
  }

  /** Returns the urgency class of an item at this moment. */
  OptionalInt urgency(BatchItem item) {
    long neededMillis = run.neededMillis(item.id(), context.pace());
    return OptionalInt.of(UrgencyClass.of(of(item), leftMillis(), neededMillis));
  }

  /** Returns the time until the batch is due, negative if that time has passed. */
  private long leftMillis() {
    return head.get().dueAtMillis() - context.storeTimeMillis();
  }

  private void logChange(long nowMillis) {
    ImmutableMultiset<GroupStanding> counts = ImmutableMultiset.copyOf(standings.values());
    if (counts.equals(logged) || nowMillis < nextLogMillis) {
      return;
    }
    logged = counts;
    nextLogMillis = nowMillis + MIN_LOG_INTERVAL_MILLIS;
    context
        .log()
        .info(
            "batch-standing",
            "batch",
            batchId,
            "leftMillis",
            leftMillis(),
            "neededGroups",
            run.neededGroups(),
            "onTime",
            counts.count(GroupStanding.ON_TIME),
            "late",
            counts.count(GroupStanding.LATE),
            "surplus",
            counts.count(GroupStanding.SURPLUS),
            "waiting",
            run.waiting(),
            "running",
            run.running(),
            "microsPerToken",
            Math.round(context.pace().millisPerToken() * 1_000));
  }
}
