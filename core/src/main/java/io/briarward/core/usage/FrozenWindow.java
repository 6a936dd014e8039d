package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Map;
import java.util.TreeMap;

/**
 * The billed figures of a window, and the counters that may still grow.
 *
 * <p>Stored once and never changed. Immutable and thread-safe.
 *
 * @param windowStartMillis the start of the window, in milliseconds since the Unix epoch
 * @param figures the billed figures, including late usage of earlier windows
 * @param open the amounts billed so far of counters that were not sealed when the window was frozen
 */
public record FrozenWindow(
    long windowStartMillis,
    UsageTotals figures,
    ImmutableSortedMap<IncarnationWindow, UsageTotals> open) {
  /** Checks the fields. */
  public FrozenWindow {
    checkNotNull(figures, "figures");
    checkNotNull(open, "open");
  }

  /** Returns an empty predecessor of the first window. */
  public static FrozenWindow before(long firstWindowStartMillis, long windowMillis) {
    return new FrozenWindow(
        firstWindowStartMillis - windowMillis, UsageTotals.EMPTY, ImmutableSortedMap.of());
  }

  /** Parses the value of a frozen window's row. */
  public static FrozenWindow parse(long windowStartMillis, JsonNode value) {
    Map<IncarnationWindow, UsageTotals> open = new TreeMap<>();
    for (JsonNode entry : value.path("open")) {
      open.put(
          UsageTables.parse(entry.path("key").asText()),
          UsageRow.parseTotals(entry.path("billed")));
    }
    return new FrozenWindow(
        windowStartMillis,
        UsageRow.parseTotals(value.path("figures")),
        ImmutableSortedMap.copyOf(open));
  }

  /** Returns the value of the row. */
  public JsonNode toJson() {
    ObjectNode value = JsonNodeFactory.instance.objectNode();
    value.set("figures", UsageRow.toJson(figures));
    ArrayNode entries = value.putArray("open");
    open.forEach(
        (usage, billed) -> {
          String key = UsageTables.prefix(usage.windowStartMillis()) + usage.incarnation();
          entries.addObject().put("key", key).set("billed", UsageRow.toJson(billed));
        });
    return value;
  }

  /** Returns the organisations that are billed. */
  public ImmutableSortedSet<String> organisations() {
    ImmutableSortedSet.Builder<String> ids = ImmutableSortedSet.naturalOrder();
    figures.amounts().keySet().forEach(key -> ids.add(key.organisation()));
    return ids.build();
  }

  /** Returns the figures of one organisation in the format of a report. */
  public JsonNode figuresOf(String organisation) {
    ObjectNode value = JsonNodeFactory.instance.objectNode();
    ArrayNode rows = value.putArray("usage");
    figures
        .amounts()
        .forEach(
            (key, amounts) -> {
              if (key.organisation().equals(organisation)) {
                rows.add(figures(key, amounts));
              }
            });
    return value;
  }

  private static ObjectNode figures(UsageKey key, UsageAmounts amounts) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("service", key.service())
        .put("kind", key.kind())
        .put("requests", amounts.requests())
        .put("weightedThousandths", amounts.weightedThousandths())
        .put("promptTokens", amounts.promptTokens())
        .put("completionTokens", amounts.completionTokens())
        .put("upstreamMillis", amounts.upstreamMillis());
  }
}
