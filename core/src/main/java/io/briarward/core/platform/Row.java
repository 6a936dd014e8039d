package io.briarward.core.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A row of a table as it was read.
 *
 * @param key the row's key within its table
 * @param version the row's version, above 0, which increases with each write and is never reused
 * @param value the JSON value, which must not be modified
 */
public record Row(String key, long version, JsonNode value) {
  /** Validates the components. */
  public Row {
    checkNotNull(key, "key");
    checkNotNull(value, "value");
    checkArgument(version > 0, "version is %s, expected > 0", version);
  }
}
