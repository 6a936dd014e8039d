package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/**
 * The value of a row of {@link UsageTables#USAGE}.
 *
 * @param totals the cumulative counters
 * @param sealed whether the counters are final
 */
public record UsageRow(UsageTotals totals, boolean sealed) {
  /** The value assumed for an absent row. */
  public static final UsageRow NONE = new UsageRow(UsageTotals.EMPTY, false);

  private static final int COUNTER_FIELDS = 8;

  /** Checks the fields. */
  public UsageRow {
    checkNotNull(totals, "totals");
  }

  /** Parses the value of a row. */
  public static UsageRow parse(JsonNode value) {
    return new UsageRow(parseTotals(value.path("totals")), value.path("sealed").asBoolean());
  }

  /** Returns the value of the row. */
  public JsonNode toJson() {
    ObjectNode value = JsonNodeFactory.instance.objectNode();
    value.set("totals", toJson(totals));
    return value.put("sealed", sealed);
  }

  static ArrayNode toJson(UsageTotals totals) {
    ArrayNode rows = JsonNodeFactory.instance.arrayNode();
    totals
        .amounts()
        .forEach(
            (key, value) ->
                rows.addArray()
                    .add(key.organisation())
                    .add(key.service())
                    .add(key.kind())
                    .add(value.requests())
                    .add(value.weightedThousandths())
                    .add(value.promptTokens())
                    .add(value.completionTokens())
                    .add(value.upstreamMillis()));
    return rows;
  }

  static UsageTotals parseTotals(JsonNode rows) {
    Map<UsageKey, UsageAmounts> amounts = new TreeMap<>();
    for (JsonNode row : rows) {
      if (row.size() != COUNTER_FIELDS) {
        throw new IllegalArgumentException("counter has " + row.size() + " fields, expected 8");
      }
      UsageKey key = new UsageKey(row.get(0).asText(), row.get(1).asText(), row.get(2).asText());
      UsageAmounts value =
          new UsageAmounts(
              row.get(3).asLong(),
              row.get(4).asLong(),
              row.get(5).asLong(),
              row.get(6).asLong(),
              row.get(7).asLong());
      amounts.put(key, value);
    }
    return UsageTotals.copyOf(amounts);
  }
}
