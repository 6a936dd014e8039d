package io.briarward.core.rollout;

import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import java.util.List;
import java.util.Optional;

/** A table that rejects operations or loses the responses to operations that it applied. */
final class FaultyTable {
  /** The fault injected into an operation. */
  enum Fault {
    NONE,
    REJECTED,
    RESPONSE_LOST
  }

  private final TableState state = TableState.create();
  private int commits;

  /** Returns the result, or empty if the caller receives no response. */
  Optional<CommitResult> commit(Transaction transaction, Fault fault) {
    if (fault == Fault.REJECTED) {
      return Optional.empty();
    }
    commits++;
    CommitResult result = state.commit(transaction);
    return fault == Fault.RESPONSE_LOST ? Optional.empty() : Optional.of(result);
  }

  Optional<Row> read(RowKey key) {
    return state.read(key);
  }

  List<Row> scan(String table, String prefix, String after) {
    return state.scan(table, prefix, after, 1_000);
  }

  int commits() {
    return commits;
  }
}
