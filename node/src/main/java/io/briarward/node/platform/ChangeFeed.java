package io.briarward.node.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.Row;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** A feed of the row changes in the tables of the platform's store. */
public interface ChangeFeed {
  /**
   * The rows of a table at one point in time.
   *
   * @param rows the rows of the table
   * @param version the version after which {@link #changes} continues this snapshot
   * @param clockMillis the store's monotonic clock in milliseconds at that time
   */
  record Snapshot(ImmutableList<Row> rows, long version, long clockMillis) {
    /** Validates the components. */
    public Snapshot {
      checkNotNull(rows, "rows");
    }
  }

  /**
   * A change of a row.
   *
   * @param key the key of the row
   * @param row the row after the change, or empty if it was removed
   */
  record Change(String key, Optional<Row> row) {
    /** Validates the components. */
    public Change {
      checkNotNull(key, "key");
      checkNotNull(row, "row");
    }
  }

  /**
   * The changes of a table in the order in which they were made.
   *
   * @param changes the changes, possibly none
   * @param version the version after which the next call to {@link #changes} must continue
   * @param clockMillis the store's monotonic clock in milliseconds
   */
  record Changes(ImmutableList<Change> changes, long version, long clockMillis) {
    /** Validates the components. */
    public Changes {
      checkNotNull(changes, "changes");
    }
  }

  /** Thrown if the store no longer has the change history after the requested version. */
  final class HistoryLostException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for {@code table}. */
    public HistoryLostException(String table) {
      super("the requested change history of table " + table + " is no longer available");
    }
  }

  /** Returns all rows of a table. */
  Single<Snapshot> snapshot(String table);

  /**
   * Returns the changes of a table after a version, waiting for at least one up to {@code
   * waitMillis}.
   *
   * <p>Fails with {@link HistoryLostException} if the history after {@code afterVersion} is gone;
   * the caller then needs a {@link #snapshot}.
   */
  Single<Changes> changes(String table, long afterVersion, long waitMillis);
}
