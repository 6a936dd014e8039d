package io.briarward.node.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import io.briarward.core.fleet.LimitShares;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.platform.Row;
import io.briarward.node.platform.ChangeFeed.Change;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.testing.FakeFleetDecoder;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FleetStateTest {
  private static final JsonNode GOOD = FakeFleetDecoder.samplerRow(1, false);
  private static final JsonNode ODD = JsonNodeFactory.instance.objectNode();

  /** Decoding it fails with an exception that no check of a field throws. */
  private static final JsonNode UNFORESEEN =
      JsonNodeFactory.instance.objectNode().put("version", FakeFleetDecoder.UNFORESEEN_VERSION);

  private final TestScheduler scheduler = new TestScheduler();
  private final FleetState fleet =
      FleetState.create(
          new FakeFleetDecoder(),
          scheduler,
          EventLog.create(scheduler),
          "nadi",
          LimitShares.create("front-1"));

  private ImmutableList<String> upstreams() {
    return fleet.balancer().entries().stream()
        .map(UpstreamEntry::id)
        .collect(ImmutableList.toImmutableList());
  }

  private static Change change(String key, long version, JsonNode value) {
    return new Change(key, Optional.of(new Row(key, version, value)));
  }

  /** A failure in one row of a page kept the rows after it from being read. */
  @Test
  void oddRowsHideNoOtherRowOfTheSnapshot() {
    fleet
        .upstreamRows()
        .onSnapshot(
            ImmutableList.of(
                new Row("a", 1, ODD),
                new Row("b", 2, GOOD),
                new Row("c", 3, UNFORESEEN),
                new Row("d", 4, GOOD)));
    assertThat(upstreams()).containsExactly("b", "d");
  }

  @Test
  void oddRowReplacesTheUpstreamThatItNamed() {
    fleet.upstreamRows().onSnapshot(ImmutableList.of(new Row("a", 1, GOOD), new Row("b", 2, GOOD)));
    fleet
        .upstreamRows()
        .onChanges(
            ImmutableList.of(
                change("a", 3, ODD), change("b", 4, UNFORESEEN), change("c", 5, GOOD)));
    assertThat(upstreams()).containsExactly("c");
    fleet.upstreamRows().onChanges(ImmutableList.of(change("a", 6, GOOD)));
    assertThat(upstreams()).containsExactly("a", "c");
  }
}
