package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.platform.Transaction;

/**
 * A transaction to be committed.
 *
 * @param operation the number to give back with the result
 * @param transaction what to commit
 */
public record StoreCommit(long operation, Transaction transaction) {
  /** Checks the fields. */
  public StoreCommit {
    checkNotNull(transaction, "transaction");
  }
}
