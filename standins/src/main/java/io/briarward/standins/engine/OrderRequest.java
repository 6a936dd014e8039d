package io.briarward.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.briarward.standins.http.Address;
import java.util.Optional;

/**
 * An order to an engine.
 *
 * @param kind the operation
 * @param version the weight version to load
 * @param name the name of the adapter, model or role
 * @param fencingNumber the fencing number of the sender's lease, which grows with each takeover
 * @param source the engine to fetch weights from instead of the weight store
 */
record OrderRequest(
    Kind kind, long version, String name, long fencingNumber, Optional<Address> source) {
  /** The operations. */
  enum Kind {
    /** Loads a weight version. */
    LOAD_WEIGHTS,
    /** Loads an adapter in addition to the model. */
    LOAD_ADAPTER,
    /** Replaces the model. */
    LOAD_MODEL,
    /** Switches between the prefill and decode roles. */
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
