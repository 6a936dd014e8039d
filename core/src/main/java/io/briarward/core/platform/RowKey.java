package io.briarward.core.platform;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The table and key of a row.
 *
 * @param table the table's name, not empty
 * @param key the row's key within the table, not empty
 */
public record RowKey(String table, String key) {
  /** Validates the components. */
  public RowKey {
    checkArgument(!table.isEmpty(), "table is empty");
    checkArgument(!key.isEmpty(), "key is empty");
  }

  /** Returns the row key of the row {@code key} in {@code table}. */
  public static RowKey of(String table, String key) {
    return new RowKey(table, key);
  }
}
