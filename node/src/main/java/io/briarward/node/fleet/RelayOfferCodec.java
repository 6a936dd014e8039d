package io.briarward.node.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import io.briarward.core.fleet.RelayOffer;
import java.util.Optional;

/** Writes the relay offer of a node into its heartbeat row and reads those of others. */
final class RelayOfferCodec {
  private static final String ADDRESS = "relayAddress";
  private static final String CUT_OFF = "cutOffServices";

  private RelayOfferCodec() {}

  static void write(RelayOffer offer, ObjectNode row) {
    offer.address().ifPresent(address -> row.put(ADDRESS, address));
    if (!offer.cutOffServices().isEmpty()) {
      ArrayNode services = row.putArray(CUT_OFF);
      offer.cutOffServices().forEach(services::add);
    }
  }

  /**
   * Returns the offer in a row; a row without an address that names a host and a port is that of a
   * node that accepts no requests of others.
   */
  static RelayOffer read(JsonNode row) {
    ImmutableSet.Builder<String> services = ImmutableSet.builder();
    row.path(CUT_OFF).forEach(service -> services.add(service.asText()));
    return new RelayOffer(
        Optional.of(row.path(ADDRESS).asText()).filter(RelayOfferCodec::hasHostAndPort),
        services.build());
  }

  private static boolean hasHostAndPort(String address) {
    try {
      HostAndPort parsed = HostAndPort.fromString(address);
      return !parsed.getHost().isEmpty() && parsed.getPortOrDefault(0) > 0;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }
}
