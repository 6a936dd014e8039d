package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.platform.Transaction;

/**
 * A transaction to commit.
 *
 * @param operation the operation number to pass back with the result
 * @param transaction the transaction
 */
public record StoreCommit(long operation, Transaction transaction) {
  /** Checks the fields. */
  public StoreCommit {
    checkNotNull(transaction, "transaction");
  }
}
