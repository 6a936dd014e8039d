package io.briarward.node.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.fleet.RelayOffer;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RelayOfferCodecTest {
  private final ObjectNode row = JsonNodeFactory.instance.objectNode();

  @Test
  void writtenOfferIsReadBack() {
    RelayOffer offer = new RelayOffer(Optional.of("10.0.0.1:80"), ImmutableSet.of("llm", "desk"));
    RelayOfferCodec.write(offer, row);
    assertThat(RelayOfferCodec.read(row)).isEqualTo(offer);
    assertThat(RelayOfferCodec.read(JsonNodeFactory.instance.objectNode()))
        .isEqualTo(RelayOffer.NONE);
  }

  /** Choosing a node to relay to failed on such an address, for requests to all nodes. */
  @Test
  void addressWithoutHostAndPortOffersNothing() {
    for (String address :
        ImmutableList.of(
            "10.0.0.1", "10.0.0.1:65536", "10.0.0.1:0", ":80", "[::1", "a:b:c", "x:-1")) {
      row.put("relayAddress", address);
      assertThat(RelayOfferCodec.read(row).address()).isEmpty();
    }
  }
}
