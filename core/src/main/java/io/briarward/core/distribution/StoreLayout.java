package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Strings;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;

/**
 * The rows of the table service that hold the configuration.
 *
 * <p>The row {@code configuration/head} names the current version. Each version has a row with its
 * delta in {@code configuration-log}; every {@value #SNAPSHOT_INTERVAL} versions the whole document
 * is written to {@code configuration-snapshot} and older rows are deleted.
 */
public final class StoreLayout {
  /** The row that names the current version. */
  public static final RowKey HEAD = RowKey.of("configuration", "head");

  /** The table of deltas by version. */
  public static final String LOG_TABLE = "configuration-log";

  static final String SNAPSHOT_TABLE = "configuration-snapshot";
  static final long SNAPSHOT_INTERVAL = 64;
  private static final int VERSION_DIGITS = 19;

  /**
   * The value of the head row.
   *
   * @param version the current version
   * @param checksum the checksum of its document
   * @param snapshotVersion the last version written as a whole; 0 when there is none
   */
  public record Head(long version, String checksum, long snapshotVersion) {}

  /**
   * The value of a log row.
   *
   * @param token identifies the change that wrote the row
   * @param delta leads to the row's version
   */
  public record LogEntry(String token, ConfigurationDelta delta) {}

  /**
   * The value of a snapshot row.
   *
   * @param checksum the checksum of the document
   * @param json the document
   */
  public record Snapshot(String checksum, String json) {}

  private StoreLayout() {}

  /** Returns the address of the delta that leads to {@code version}. */
  public static RowKey logRow(long version) {
    return RowKey.of(LOG_TABLE, key(version));
  }

  /** Returns the address of the whole document of {@code version}. */
  public static RowKey snapshotRow(long version) {
    return RowKey.of(SNAPSHOT_TABLE, key(version));
  }

  /** Returns the key of {@code version} in the log; keys sort like versions. */
  public static String key(long version) {
    checkArgument(version >= 0, "version is %s, expected >= 0", version);
    return Strings.padStart(Long.toString(version), VERSION_DIGITS, '0');
  }

  /** Reads the value of the head row. */
  public static Head head(Row row) {
    return Json.fromTree(row.value(), Head.class);
  }

  /** Reads the value of a log row. */
  public static LogEntry logEntry(Row row) {
    return Json.fromTree(row.value(), LogEntry.class);
  }

  /** Reads the value of a snapshot row. */
  public static Snapshot snapshot(Row row) {
    return Json.fromTree(row.value(), Snapshot.class);
  }

  /**
   * Returns the transaction that accepts the version after {@code base}.
   *
   * @param headRowVersion the row version of the head that names {@code base}; {@link
   *     Transaction#ABSENT} when there is no head yet
   */
  static Transaction accept(
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
      deleteOld(transaction, version);
    }
    checkArgument(base.version() + 1 == version, "version is %s", version);
    return transaction.build();
  }

  private static void deleteOld(Transaction.Builder transaction, long version) {
    long kept = version - SNAPSHOT_INTERVAL;
    if (kept <= 0) {
      return;
    }
    transaction.delete(snapshotRow(kept - SNAPSHOT_INTERVAL));
    for (long old = kept - SNAPSHOT_INTERVAL + 1; old <= kept; old++) {
      transaction.delete(logRow(old));
    }
  }
}
