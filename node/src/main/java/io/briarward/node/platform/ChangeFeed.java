package io.briarward.node.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.Row;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** Tells what changes in a table of the platform's store. */
public interface ChangeFeed {
  /**
   * A table as of one moment.
   *
   * @param version the newest version of the store at that moment
   * @param clockMillis the store's steady clock
   */
  record Snapshot(ImmutableList<Row> rows, long version, long clockMillis) {
    /** Checks the fields. */
    public Snapshot {
      checkNotNull(rows, "rows");
    }
  }

  /**
   * A row that changed.
   *
   * @param row the row now, empty when it was removed
   */
  record Change(String key, Optional<Row> row) {
    /** Checks the fields. */
    public Change {
      checkNotNull(key, "key");
      checkNotNull(row, "row");
    }
  }

  /**
   * What changed, in order.
   *
   * @param version where to go on
   * @param clockMillis the store's steady clock
   */
  record Changes(ImmutableList<Change> changes, long version, long clockMillis) {
    /** Checks the fields. */
    public Changes {
      checkNotNull(changes, "changes");
    }
  }

  /** Signals that the store no longer keeps the history that was asked for. */
  final class HistoryLostException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for the table. */
    public HistoryLostException(String table) {
      super("the history of " + table + " is no longer kept");
    }
  }

  /** Reads a whole table. */
  Single<Snapshot> snapshot(String table);

  /**
   * Waits for changes after a version, up to {@code waitMillis}.
   *
   * <p>Fails with {@link HistoryLostException} when a snapshot is needed instead.
   */
  Single<Changes> changes(String table, long afterVersion, long waitMillis);
}
