package io.briarward.core.distribution;

import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;

/** What a {@link ConfigurationChange} needs next. */
public sealed interface ChangeStep {
  /** Reads a row strongly. */
  record Read(RowKey row) implements ChangeStep {}

  /** Sends the transaction. */
  record Commit(Transaction transaction) implements ChangeStep {}

  /** Ends with the result. */
  record Finished(ChangeResult result) implements ChangeStep {}
}
