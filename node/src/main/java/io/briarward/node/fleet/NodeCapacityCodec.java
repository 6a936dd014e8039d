package io.briarward.node.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalDouble;

/** Writes the processor capacity of a VM into its heartbeat row and reads that of others. */
final class NodeCapacityCodec {
  private static final String CAPACITY = "capacity";

  private NodeCapacityCodec() {}

  /** Adds a capacity in cores to a row; adds nothing if it is unknown. */
  static void write(OptionalDouble cores, ObjectNode row) {
    cores.ifPresent(value -> row.put(CAPACITY, value));
  }

  /**
   * Returns the capacity in a row; empty if the row has none, as the rows of previous versions, or
   * one that is not a finite number above 0.
   */
  static OptionalDouble read(JsonNode row) {
    JsonNode value = row.path(CAPACITY);
    double cores = value.asDouble();
    return value.isNumber() && Double.isFinite(cores) && cores > 0
        ? OptionalDouble.of(cores)
        : OptionalDouble.empty();
  }
}
