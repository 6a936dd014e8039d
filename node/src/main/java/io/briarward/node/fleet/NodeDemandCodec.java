package io.briarward.node.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.fleet.NodeDemand;

/** Writes the demand of a node into its heartbeat row and reads that of others. */
final class NodeDemandCodec {
  private static final String NEEDED = "neededPerSecond";
  private static final String LIMITS = "limitsPerSecond";

  private NodeDemandCodec() {}

  /** Adds a demand to a row; adds nothing if the node knows of no limited upstream. */
  static void write(NodeDemand demand, ObjectNode row) {
    if (!demand.neededPerSecondByInstance().isEmpty()) {
      ObjectNode needed = row.putObject(NEEDED);
      demand
          .neededPerSecondByInstance()
          .forEach((instance, perSecond) -> needed.put(instance, round(perSecond)));
    }
    if (!demand.limitsByInstance().isEmpty()) {
      ObjectNode limits = row.putObject(LIMITS);
      demand.limitsByInstance().forEach(limits::put);
    }
  }

  /**
   * Returns the demand in a row, without numbers that are not finite; a row without one is that of
   * a node without demand.
   */
  static NodeDemand read(JsonNode row) {
    if (!row.has(NEEDED) && !row.has(LIMITS)) {
      return NodeDemand.NONE; // That of most rows, which are compared by identity first.
    }
    return new NodeDemand(readMap(row.path(NEEDED)), readMap(row.path(LIMITS)));
  }

  private static ImmutableMap<String, Double> readMap(JsonNode object) {
    return object.properties().stream()
        .filter(e -> e.getValue().isNumber() && Double.isFinite(e.getValue().asDouble()))
        .collect(
            ImmutableMap.toImmutableMap(
                e -> e.getKey(), e -> Math.max(0, e.getValue().asDouble())));
  }

  /** Rounds to hundredths, to keep rows short. */
  private static double round(double perSecond) {
    return Math.round(perSecond * 100) / 100.0;
  }
}
