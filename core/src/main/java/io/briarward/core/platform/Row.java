package io.briarward.core.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A row as it was read.
 *
 * @param key the row's key within its table
 * @param version grows with each write of the row and is never used twice; above 0
 * @param value the JSON value, not to be modified
 */
public record Row(String key, long version, JsonNode value) {
  /** Checks the fields. */
  public Row {
    checkNotNull(key, "key");
    checkNotNull(value, "value");
    checkArgument(version > 0, "version is %s, expected > 0", version);
  }
}
