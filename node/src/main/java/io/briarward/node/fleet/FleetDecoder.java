package io.briarward.node.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.briarward.core.fleet.FleetConfiguration;
import io.briarward.core.fleet.UpstreamEntry;
import java.util.Optional;

/** Reads what operators, trainers and upstreams write into the store. */
public interface FleetDecoder {
  /**
   * A version of a model's weights that a trainer announced.
   *
   * @param version grows with each announcement
   */
  record Announcement(String model, long version) {}

  /** Returns the table that operators and trainers write to. */
  String operatorTable();

  /** Returns the table in which upstreams register. */
  String upstreamTable();

  /** Returns the key of the configuration's row in the operators' table. */
  String configurationKey();

  /**
   * Reads a configuration.
   *
   * @throws IllegalArgumentException if it is malformed
   */
  FleetConfiguration configuration(JsonNode value);

  /** Reads an announcement, if the row with the key holds one. */
  Optional<Announcement> announcement(String key, JsonNode value);

  /** Reads what an upstream says of itself; empty when it names no upstream to use. */
  Optional<UpstreamEntry> upstream(String id, JsonNode value);
}
