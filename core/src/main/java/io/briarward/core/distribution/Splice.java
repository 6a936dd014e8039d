package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

/**
 * Replaces a run of entries in one of the configuration's lists.
 *
 * @param field the name of the list
 * @param start the index of the first replaced entry
 * @param removed how many entries are taken out
 * @param inserted the entries put in their place, not to be modified
 */
public record Splice(String field, int start, int removed, ImmutableList<JsonNode> inserted) {
  /** Checks the fields. */
  public Splice {
    checkNotNull(field, "field");
    checkNotNull(inserted, "inserted");
    checkArgument(start >= 0, "start is %s, expected >= 0", start);
    checkArgument(removed >= 0, "removed is %s, expected >= 0", removed);
  }
}
