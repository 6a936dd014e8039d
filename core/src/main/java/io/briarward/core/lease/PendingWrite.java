package io.briarward.core.lease;

import io.briarward.core.platform.Transaction;

/**
 * A write of the lease's row whose outcome is not known yet.
 *
 * @param row the value written
 * @param conditionVersion the version of the row that the write requires
 * @param firstSentMillis the monotonic time before it was sent first
 * @param transaction the whole transaction, which is repeated unchanged
 * @param hasWork whether the transaction carries writes of the caller
 */
record PendingWrite(
    LeaseRow row,
    long conditionVersion,
    long firstSentMillis,
    Transaction transaction,
    boolean hasWork) {}
