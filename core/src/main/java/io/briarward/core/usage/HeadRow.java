package io.briarward.core.usage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The value of the row of {@link UsageTables#HEAD}, written only under the reports' lease.
 *
 * @param frozenMillis the start of the last frozen window
 * @param reportedMillis the start of the last window whose reports were all answered, either as
 *     accepted or as {@link SendOutcome#DIFFERENT_FIGURES}
 */
record HeadRow(long frozenMillis, long reportedMillis) {
  static HeadRow parse(JsonNode value) {
    return new HeadRow(value.path("frozenMillis").asLong(), value.path("reportedMillis").asLong());
  }

  JsonNode toJson() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("frozenMillis", frozenMillis)
        .put("reportedMillis", reportedMillis);
  }
}
