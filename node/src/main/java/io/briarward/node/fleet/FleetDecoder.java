package io.briarward.node.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.briarward.core.fleet.FleetConfiguration;
import io.briarward.core.fleet.UpstreamEntry;
import java.util.Optional;

/** Decodes the rows that operators, trainers and upstreams write to the store. */
public interface FleetDecoder {
  /**
   * A trainer's announcement of a weight version.
   *
   * @param model the name of the model
   * @param version the weight version, which increases with each announcement of the model
   */
  record Announcement(String model, long version) {}

  /** Returns the name of the table that operators and trainers write to. */
  String operatorTable();

  /** Returns the name of the table in which upstreams register. */
  String upstreamTable();

  /** Returns the key of the configuration's row in the operators' table. */
  String configurationKey();

  /**
   * Decodes a configuration.
   *
   * @throws IllegalArgumentException if it is malformed
   */
  FleetConfiguration configuration(JsonNode value);

  /** Decodes an announcement; empty if the row does not hold one. */
  Optional<Announcement> announcement(String key, JsonNode value);

  /** Returns the data centre that a row of the operators' table evacuates; empty if none. */
  Optional<String> evacuatedDataCentre(String key);

  /**
   * Returns why the time for which an upstream stays cold, in its registration, is not used; empty
   * if it is valid.
   */
  Optional<String> coldDefect(JsonNode value);

  /**
   * Decodes the registration of an upstream. An invalid time for which it stays cold counts as 0,
   * see {@link #coldDefect}.
   *
   * @throws IllegalArgumentException if it is malformed, so that it names no upstream
   */
  UpstreamEntry upstream(String id, JsonNode value);
}
