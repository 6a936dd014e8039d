package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import java.util.Optional;

/**
 * The last announced weight version of a service, as stored in its table row.
 *
 * <p>The staleness of samples is measured against this version, which never decreases. Immutable
 * and thread-safe.
 *
 * @param version the announced weight version, 0 before the first announcement
 * @param rowVersion the version of the row, 0 before the first announcement
 */
public record AnnouncedVersion(long version, long rowVersion) {
  private static final String TABLE = "weights";
  private static final String VERSION = "version";
  private static final String ANNOUNCED_AT_MILLIS = "announcedAtMillis";
  private static final AnnouncedVersion NONE = new AnnouncedVersion(0, Transaction.ABSENT);

  /** Checks the fields. */
  public AnnouncedVersion {
    checkArgument(version >= 0, "version is %s, expected >= 0", version);
    checkArgument(rowVersion >= 0, "rowVersion is %s, expected >= 0", rowVersion);
  }

  /** Returns the key of a service's row. */
  public static RowKey key(String service) {
    return RowKey.of(TABLE, service);
  }

  /** Returns the version stored in the row, or version 0 if the row is absent. */
  public static AnnouncedVersion fromRow(Optional<Row> row) {
    return row.map(
            found -> new AnnouncedVersion(found.value().path(VERSION).asLong(), found.version()))
        .orElse(NONE);
  }

  /**
   * Returns the transaction that announces {@code next}, or empty if a version at least as new is
   * already announced.
   *
   * @param nowMillis the time of the announcement
   */
  public Optional<Transaction> announce(WeightAnnouncement next, long nowMillis) {
    boolean isAnnounced = rowVersion != Transaction.ABSENT && next.version() <= version;
    if (isAnnounced) {
      return Optional.empty();
    }
    RowKey key = key(next.service());
    ObjectNode value = JsonNodeFactory.instance.objectNode();
    value.put(VERSION, next.version());
    value.put(ANNOUNCED_AT_MILLIS, nowMillis);
    return Optional.of(
        Transaction.builder().requireVersion(key, rowVersion).put(key, value).build());
  }
}
