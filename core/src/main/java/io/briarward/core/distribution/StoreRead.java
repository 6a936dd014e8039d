package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A strong read of the table service that a node asks for.
 *
 * @param kind what is read
 * @param version for the log, the version after which deltas are wanted; for a snapshot, its
 *     version
 */
public record StoreRead(Kind kind, long version) {
  /** The largest number of log rows that one read returns. */
  public static final int MAX_LOG_ROWS = 64;

  /** What is read. */
  public enum Kind {
    /** The row {@link StoreLayout#HEAD}. */
    HEAD,
    /** Up to {@link #MAX_LOG_ROWS} rows of {@link StoreLayout#LOG_TABLE} after the version. */
    LOG,
    /** The row {@link StoreLayout#snapshotRow} of the version. */
    SNAPSHOT
  }

  /** Checks the fields. */
  public StoreRead {
    checkNotNull(kind, "kind");
    checkArgument(version >= 0, "version is %s, expected >= 0", version);
  }

  static StoreRead head() {
    return new StoreRead(Kind.HEAD, 0);
  }

  static StoreRead logAfter(long version) {
    return new StoreRead(Kind.LOG, version);
  }

  static StoreRead snapshot(long version) {
    return new StoreRead(Kind.SNAPSHOT, version);
  }
}
