package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Strings;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;

/**
 * Layout of the configuration in rows of the table service.
 *
 * <p>The row {@code configuration/head} contains the current version number. Each version has a row
 * with its delta in {@code configuration-log}. Every {@value #SNAPSHOT_INTERVAL} versions, the
 * whole document is written to {@code configuration-snapshot}; the log rows up to the previous
 * snapshot, and the snapshot before that one, are deleted.
 */
public final class StoreLayout {
  /** The key of the row that contains the current version number. */
  public static final RowKey HEAD = RowKey.of("configuration", "head");

  /** The table of deltas, keyed by version. */
  public static final String LOG_TABLE = "configuration-log";

  static final String SNAPSHOT_TABLE = "configuration-snapshot";
  static final long SNAPSHOT_INTERVAL = 64;
  private static final int VERSION_DIGITS = 19;

  /**
   * The value of the head row.
   *
   * @param version the current version
   * @param checksum the checksum of the current document
   * @param snapshotVersion the version of the latest snapshot; 0 if there is none
   */
  public record Head(long version, String checksum, long snapshotVersion) {}

  /**
   * The value of a log row.
   *
   * @param token unique to the change that wrote the row
   * @param delta the delta to the row's version
   */
  public record LogEntry(String token, ConfigurationDelta delta) {}

  /**
   * The value of a snapshot row.
   *
   * @param checksum the checksum of the document
   * @param json the JSON text of the document
   */
  public record Snapshot(String checksum, String json) {}

  private StoreLayout() {}

  /** Returns the key of the log row with the delta to {@code version}. */
  public static RowKey logRow(long version) {
    return RowKey.of(LOG_TABLE, key(version));
  }

  /** Returns the key of the snapshot row of {@code version}. */
  public static RowKey snapshotRow(long version) {
    return RowKey.of(SNAPSHOT_TABLE, key(version));
  }

  /**
   * Returns the key of {@code version} within its table, padded so that keys sort in version order.
   *
   * @throws IllegalArgumentException if {@code version} is negative
   */
  public static String key(long version) {
    checkArgument(version >= 0, "version is %s, expected >= 0", version);
    return Strings.padStart(Long.toString(version), VERSION_DIGITS, '0');
  }

  /** Parses the value of the head row. */
  public static Head head(Row row) {
    return Json.fromTree(row.value(), Head.class);
  }

  /** Parses the value of a log row. */
  public static LogEntry logEntry(Row row) {
    return Json.fromTree(row.value(), LogEntry.class);
  }

  /** Parses the value of a snapshot row. */
  public static Snapshot snapshot(Row row) {
    return Json.fromTree(row.value(), Snapshot.class);
  }

  /**
   * Returns the transaction that makes {@code next} the current version in place of {@code base}.
   *
   * @param headRowVersion the row version of the head row that contains {@code base}'s version;
   *     {@link Transaction#ABSENT} if there is no head row yet
   * @param token unique to the change
   */
  static Transaction acceptTransaction(
      ConfigurationDocument base,
      ConfigurationDocument next,
      ConfigurationDelta delta,
      long headRowVersion,
      String token) {
    long version = next.version();
    long snapshotVersion = version - version % SNAPSHOT_INTERVAL;
    Transaction.Builder transaction =
        Transaction.builder()
            .requireVersion(HEAD, headRowVersion)
            .put(HEAD, Json.toTree(new Head(version, next.checksum(), snapshotVersion)))
            .put(logRow(version), Json.toTree(new LogEntry(token, delta)));
    if (version == snapshotVersion) {
      Snapshot snapshot = new Snapshot(next.checksum(), next.json());
      transaction.put(snapshotRow(version), Json.toTree(snapshot));
      deleteRowsUpToPreviousSnapshot(transaction, version);
    }
    checkArgument(
        base.version() + 1 == version, "version of next is %s, expected base version + 1", version);
    return transaction.build();
  }

  private static void deleteRowsUpToPreviousSnapshot(
      Transaction.Builder transaction, long version) {
    long previousSnapshotVersion = version - SNAPSHOT_INTERVAL;
    if (previousSnapshotVersion <= 0) {
      return;
    }
    transaction.delete(snapshotRow(previousSnapshotVersion - SNAPSHOT_INTERVAL));
    for (long old = previousSnapshotVersion - SNAPSHOT_INTERVAL + 1;
        old <= previousSnapshotVersion;
        old++) {
      transaction.delete(logRow(old));
    }
  }
}
