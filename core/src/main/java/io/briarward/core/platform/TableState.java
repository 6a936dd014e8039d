package io.briarward.core.platform;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * In-memory tables that apply transactions serially.
 *
 * <p>Used by tests and by the stand-in of the table service. Thread-safe: every method is atomic.
 */
public final class TableState {
  /** The largest number of rows on a page. */
  private static final int MAX_PAGE_ROWS = 500;

  /** The largest size of the values on a page, which is 1 MB once they are Base64-encoded. */
  private static final int MAX_PAGE_BYTES = 750_000;

  private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();
  private long lastVersion;

  private TableState() {}

  /** Creates a state without rows. */
  public static TableState create() {
    return new TableState();
  }

  /** Applies the transaction if all its conditions hold. */
  public synchronized CommitResult commit(Transaction transaction) {
    ImmutableMap.Builder<RowKey, Optional<Row>> conflicts = ImmutableMap.builder();
    for (Transaction.Condition condition : transaction.conditions()) {
      Optional<Row> row = read(condition.row());
      if (row.map(Row::version).orElse(Transaction.ABSENT) != condition.version()) {
        conflicts.put(condition.row(), row);
      }
    }
    ImmutableMap<RowKey, Optional<Row>> failed = conflicts.buildKeepingLast();
    return failed.isEmpty() ? apply(transaction) : new CommitResult.Conflict(failed);
  }

  /** Returns the row, or empty if it does not exist. */
  public synchronized Optional<Row> read(RowKey key) {
    return Optional.ofNullable(table(key.table()).get(key.key()));
  }

  /**
   * Returns a table's rows whose keys start with {@code prefix} and sort after {@code after}.
   *
   * @param limit the maximum number of rows returned, above 0
   */
  public synchronized ImmutableList<Row> scan(
      String table, String prefix, String after, int limit) {
    checkArgument(limit > 0, "limit is %s, expected > 0", limit);
    boolean fromPrefix = after.compareTo(prefix) < 0;
    String from = fromPrefix ? prefix : after;
    return table(table).tailMap(from, fromPrefix).values().stream()
        .takeWhile(row -> row.key().startsWith(prefix))
        .limit(limit)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the first page of what {@link #scan} matches, limited in its size like a page of a
   * table service.
   *
   * @param limit the maximum number of rows returned, above 0
   */
  public synchronized RowPage scanPage(String table, String prefix, String after, int limit) {
    checkArgument(limit > 0, "limit is %s, expected > 0", limit);
    int maxRows = Math.min(limit, MAX_PAGE_ROWS);
    ImmutableList<Row> found = scan(table, prefix, after, maxRows + 1);
    int count = 0;
    int bytes = 0;
    while (count < Math.min(found.size(), maxRows)) {
      bytes += found.get(count).value().toString().getBytes(StandardCharsets.UTF_8).length;
      if (count > 0 && bytes > MAX_PAGE_BYTES) {
        break;
      }
      count++;
    }
    return new RowPage(found.subList(0, count), count < found.size());
  }

  private CommitResult apply(Transaction transaction) {
    ImmutableMap.Builder<RowKey, Long> versions = ImmutableMap.builder();
    for (Transaction.Write write : transaction.writes()) {
      NavigableMap<String, Row> table = table(write.row().table());
      String key = write.row().key();
      if (write.value().isPresent()) {
        lastVersion++;
        table.put(key, new Row(key, lastVersion, write.value().get()));
        versions.put(write.row(), lastVersion);
      } else {
        table.remove(key);
      }
    }
    return new CommitResult.Committed(versions.buildKeepingLast());
  }

  private NavigableMap<String, Row> table(String name) {
    return tables.computeIfAbsent(name, unused -> new TreeMap<>());
  }
}
