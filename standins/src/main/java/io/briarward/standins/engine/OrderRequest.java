package io.briarward.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.briarward.standins.http.Address;
import java.util.Optional;

/**
 * An order to an engine.
 *
 * @param kind what to do
 * @param version the weight version to load
 * @param name the adapter, model or role
 * @param fencingNumber grows with each process that takes charge
 * @param source the engine to fetch weights from in place of the store
 */
record OrderRequest(
    Kind kind, long version, String name, long fencingNumber, Optional<Address> source) {
  /** What an engine can be ordered to do. */
  enum Kind {
    /** Loads a weight version. */
    LOAD_WEIGHTS,
    /** Loads an adapter beside the model. */
    LOAD_ADAPTER,
    /** Loads another model. */
    LOAD_MODEL,
    /** Changes between prefill and decode. */
    SET_ROLE
  }

  static OrderRequest parse(JsonNode body) {
    Optional<Address> source =
        body.hasNonNull("sourceHost")
            ? Optional.of(
                new Address(body.path("sourceHost").asText(), body.path("sourcePort").asInt()))
            : Optional.empty();
    return new OrderRequest(
        Kind.valueOf(body.path("kind").asText()),
        body.path("version").asLong(),
        body.path("name").asText(""),
        body.path("fencingNumber").asLong(),
        source);
  }
}
