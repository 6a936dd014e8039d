package io.briarward.core.usage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The value of a row of {@link UsageTables#INCARNATIONS}.
 *
 * @param sealedBeforeMillis the time since the Unix epoch such that every window that starts
 *     earlier is sealed or precedes the first window of the incarnation
 * @param writes the number of writes of the row, so that every write changes its value
 */
public record IncarnationRow(long sealedBeforeMillis, long writes) {
  /** The {@link #sealedBeforeMillis} of an incarnation that has ended. */
  public static final long ENDED = Long.MAX_VALUE;

  /** Parses the value of a row. */
  public static IncarnationRow parse(JsonNode value) {
    return new IncarnationRow(
        value.path("sealedBeforeMillis").asLong(), value.path("writes").asLong());
  }

  /** Returns the value of the row. */
  public JsonNode toJson() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("sealedBeforeMillis", sealedBeforeMillis)
        .put("writes", writes);
  }
}
