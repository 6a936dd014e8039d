package io.briarward.core.usage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The value of a row of {@link UsageTables#INCARNATIONS}.
 *
 * @param sealedBeforeMillis every window that starts before this time since the Unix epoch is
 *     sealed, or is earlier than the incarnation's first one
 * @param writes how often the row was written, so that each write changes it
 */
public record IncarnationRow(long sealedBeforeMillis, long writes) {
  /** The value of {@link #sealedBeforeMillis} of an incarnation that has ended. */
  public static final long ENDED = Long.MAX_VALUE;

  /** Reads the row's value. */
  public static IncarnationRow parse(JsonNode value) {
    return new IncarnationRow(
        value.path("sealedBeforeMillis").asLong(), value.path("writes").asLong());
  }

  /** Returns the row's value. */
  public JsonNode toJson() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("sealedBeforeMillis", sealedBeforeMillis)
        .put("writes", writes);
  }
}
