package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import java.util.Optional;

/**
 * The weight version of a service that its trainer announced last, as the table holds it.
 *
 * <p>The age of a sample is counted from this version. It never goes back. Immutable and
 * thread-safe.
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

  /** Returns the address of a service's row. */
  public static RowKey key(String service) {
    return RowKey.of(TABLE, service);
  }

  /** Returns what the row says; an absent row is version 0. */
  public static AnnouncedVersion fromRow(Optional<Row> row) {
    return row.map(
            each -> new AnnouncedVersion(each.value().path(VERSION).asLong(), each.version()))
        .orElse(NONE);
  }

  /**
   * Returns the transaction that announces {@code next}, or empty when it is announced already or
   * older than this version.
   *
   * @param nowMillis the time of the announcement
   */
  public Optional<Transaction> announce(WeightAnnouncement next, long nowMillis) {
    boolean announced = rowVersion != Transaction.ABSENT && next.version() <= version;
    if (announced) {
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
