package io.briarward.core.platform;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The address of a row.
 *
 * @param table the table's name, not empty
 * @param key the row's key within the table, not empty
 */
public record RowKey(String table, String key) {
  /** Checks the fields. */
  public RowKey {
    checkArgument(!table.isEmpty(), "table is empty");
    checkArgument(!key.isEmpty(), "key is empty");
  }

  /** Returns the address of the row {@code key} of {@code table}. */
  public static RowKey of(String table, String key) {
    return new RowKey(table, key);
  }
}
