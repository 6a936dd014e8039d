package io.briarward.core.lease;

import io.briarward.core.platform.Transaction;

/**
 * A write to the lease row whose outcome is not known yet.
 *
 * @param row the value written
 * @param conditionVersion the version of the row that the write requires
 * @param firstSentMillis the monotonic time immediately before the write was first sent
 * @param transaction the whole transaction, which is retried unchanged
 * @param hasWork whether the transaction includes writes of the caller
 */
record PendingWrite(
    LeaseRow row,
    long conditionVersion,
    long firstSentMillis,
    Transaction transaction,
    boolean hasWork) {}
