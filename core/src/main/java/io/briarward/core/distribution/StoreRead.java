package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A strongly consistent read of the table service that a node requests.
 *
 * @param kind the rows to read
 * @param version for the log, the version after which to read deltas; for a snapshot, the version
 *     of the snapshot; otherwise 0
 */
public record StoreRead(Kind kind, long version) {
  /** The maximum number of log rows that one read returns. */
  public static final int MAX_LOG_ROWS = 64;

  /** The rows to read. */
  public enum Kind {
    /** The row {@link StoreLayout#HEAD}. */
    HEAD,
    /** Up to {@link #MAX_LOG_ROWS} rows of {@link StoreLayout#LOG_TABLE} after the version. */
    LOG,
    /** The row {@link StoreLayout#snapshotRow} of the version. */
    SNAPSHOT
  }

  /** Validates the components. */
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
