package io.briarward.core.distribution;

import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;

/** The next step of a {@link ConfigurationChange}. */
public sealed interface ChangeStep {
  /** Reads a row with strong consistency. */
  record Read(RowKey row) implements ChangeStep {}

  /** Commits a transaction. */
  record Commit(Transaction transaction) implements ChangeStep {}

  /** Ends the change with a result. */
  record Finished(ChangeResult result) implements ChangeStep {}
}
