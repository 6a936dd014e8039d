package io.briarward.node.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.fleet.NodeDemand;
import org.junit.jupiter.api.Test;

class NodeDemandCodecTest {
  private final ObjectNode row = JsonNodeFactory.instance.objectNode().put("incarnation", "a#1#2");

  @Test
  void writtenDemandIsReadBack() {
    NodeDemand demand =
        new NodeDemand(ImmutableMap.of("u/7", 12.34), ImmutableMap.of("u/7", 0.25, "v/8", 3.0));
    NodeDemandCodec.write(demand, row);
    assertThat(NodeDemandCodec.read(row)).isEqualTo(demand);
  }

  @Test
  void rowOfNodeWithoutDemandIsUnchanged() {
    NodeDemandCodec.write(NodeDemand.NONE, row);
    assertThat(row).isEqualTo(JsonNodeFactory.instance.objectNode().put("incarnation", "a#1#2"));
    // The same instance, since the demands of all nodes are compared several times a second.
    assertThat(NodeDemandCodec.read(row)).isSameInstanceAs(NodeDemand.NONE);
  }

  @Test
  void rowOfAnotherFormatIsReadAsNoDemand() {
    row.put("neededPerSecond", 3).put("limitsPerSecond", "many");
    assertThat(NodeDemandCodec.read(row)).isEqualTo(NodeDemand.NONE);
  }

  /** A need without bound took the shares of all other nodes. */
  @Test
  void needsWithoutBoundAreNotRead() throws Exception {
    String odd =
        """
        {"neededPerSecond": {"u/7": 1e400, "v/8": 2, "w/9": "many", "x/1": 1e999999999},
         "limitsPerSecond": {"u/7": 1e400, "v/8": 99999999999999999999}}
        """;
    NodeDemand demand = NodeDemandCodec.read(new ObjectMapper().readTree(odd));
    assertThat(demand.neededPerSecondByInstance()).containsExactly("v/8", 2.0);
    assertThat(demand.limitsByInstance()).containsExactly("v/8", 1e20);
  }
}
