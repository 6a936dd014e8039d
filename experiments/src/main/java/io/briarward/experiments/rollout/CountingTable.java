package io.briarward.experiments.rollout;

import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import java.util.Optional;

/** An in-memory table store that counts its operations. Not thread-safe. */
final class CountingTable {
  private static final int SCAN_LIMIT = 500;

  private final TableState state = TableState.create();
  private long commits;
  private long rowsWritten;
  private long bytesWritten;
  private long reads;

  boolean commit(Transaction transaction) {
    commits++;
    CommitResult result = state.commit(transaction);
    if (result.committed()) {
      rowsWritten += transaction.writes().size();
      transaction.writes().stream()
          .flatMap(write -> write.value().stream())
          .forEach(value -> bytesWritten += value.toString().length());
    }
    return result.committed();
  }

  Optional<Row> read(RowKey key) {
    reads++;
    return state.read(key);
  }

  ImmutableList<Row> scan(String table, String prefix, String after) {
    reads++;
    return state.scan(table, prefix, after, SCAN_LIMIT);
  }

  long commits() {
    return commits;
  }

  long rowsWritten() {
    return rowsWritten;
  }

  long bytesWritten() {
    return bytesWritten;
  }

  long reads() {
    return reads;
  }
}
