package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

/**
 * A replacement of consecutive entries in one of the configuration's lists.
 *
 * @param field the field name of the list
 * @param start the index of the first replaced entry, >= 0
 * @param removed the number of entries removed, >= 0
 * @param inserted the entries inserted in their place, which must not be modified
 */
public record Splice(String field, int start, int removed, ImmutableList<JsonNode> inserted) {
  /** Validates the components. */
  public Splice {
    checkNotNull(field, "field");
    checkNotNull(inserted, "inserted");
    checkArgument(start >= 0, "start is %s, expected >= 0", start);
    checkArgument(removed >= 0, "removed is %s, expected >= 0", removed);
  }
}
