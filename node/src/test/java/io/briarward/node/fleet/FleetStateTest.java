package io.briarward.node.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.fleet.FleetService;
import io.briarward.core.fleet.LimitShares;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamNotice;
import io.briarward.core.platform.Row;
import io.briarward.node.platform.ChangeFeed.Change;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.telemetry.Metrics;
import io.briarward.node.testing.FakeFleetDecoder;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
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

  private static JsonNode rowIn(String dataCentre) {
    return JsonNodeFactory.instance.objectNode().put("version", 1).put("dataCentre", dataCentre);
  }

  private static Row evacuation(String dataCentre) {
    return new Row("evacuate/" + dataCentre, 1, JsonNodeFactory.instance.objectNode());
  }

  private ImmutableList<String> chosen() {
    return fleet
        .balancer()
        .available(FakeFleetDecoder.SAMPLERS, ImmutableSet.of(), entry -> true, 0)
        .stream()
        .map(UpstreamEntry::id)
        .collect(ImmutableList.toImmutableList());
  }

  @Test
  void evacuatedDataCentresGetNothingUntilTheirRowsAreDeleted() {
    fleet
        .upstreamRows()
        .onSnapshot(
            ImmutableList.of(
                new Row("a", 1, rowIn("nadi")),
                new Row("b", 2, rowIn("suva")),
                new Row("c", 3, rowIn("lautoka"))));
    fleet.operatorRows().onSnapshot(ImmutableList.of(evacuation("nadi")));
    assertThat(chosen()).containsExactly("b", "c");
    fleet
        .operatorRows()
        .onChanges(ImmutableList.of(new Change("evacuate/suva", Optional.of(evacuation("suva")))));
    assertThat(chosen()).containsExactly("c");
    assertThat(
            fleet
                .balancer()
                .chooseIgnoringEjection(
                    FakeFleetDecoder.SAMPLERS, ImmutableSet.of("c"), entry -> true, 0))
        .isEmpty();
    fleet.operatorRows().onChanges(ImmutableList.of(new Change("evacuate/nadi", Optional.empty())));
    assertThat(chosen()).containsExactly("a", "c");
  }

  /** Changes that were taken as a set would leave the state before the last of them. */
  @Test
  void changesOfOneEvacuationAreAppliedInTheirOrder() {
    fleet.upstreamRows().onSnapshot(ImmutableList.of(new Row("a", 1, rowIn("nadi"))));
    Change begin = new Change("evacuate/nadi", Optional.of(evacuation("nadi")));
    Change end = new Change("evacuate/nadi", Optional.empty());
    fleet.operatorRows().onChanges(ImmutableList.of(begin, end));
    assertThat(chosen()).containsExactly("a");
    fleet.operatorRows().onChanges(ImmutableList.of(begin, end, begin));
    assertThat(chosen()).isEmpty();
  }

  /** The deletion of a row is not among the changes after a gap in the history. */
  @Test
  void snapshotReplacesTheEvacuations() {
    fleet.upstreamRows().onSnapshot(ImmutableList.of(new Row("a", 1, rowIn("nadi"))));
    fleet.operatorRows().onSnapshot(ImmutableList.of(evacuation("nadi"), evacuation("suva")));
    assertThat(chosen()).isEmpty();
    fleet.operatorRows().onSnapshot(ImmutableList.of(evacuation("suva")));
    assertThat(chosen()).containsExactly("a");
  }

  @Test
  void evacuationOfUnknownDataCentreHoldsForUpstreamsThatAppear() {
    fleet.upstreamRows().onSnapshot(ImmutableList.of());
    fleet.operatorRows().onSnapshot(ImmutableList.of(evacuation("nadi")));
    assertThat(fleet.balancer().evacuated().names()).containsExactly("nadi");
    fleet.upstreamRows().onChanges(ImmutableList.of(change("a", 2, rowIn("nadi"))));
    assertThat(chosen()).isEmpty();
  }

  /** Whatever the row contains, its existence evacuates the data centre. */
  @Test
  void evacuationDoesNotDependOnTheValueOfItsRow() {
    fleet.upstreamRows().onSnapshot(ImmutableList.of(new Row("a", 1, rowIn("nadi"))));
    fleet
        .operatorRows()
        .onSnapshot(
            ImmutableList.of(new Row("evacuate/nadi", 1, JsonNodeFactory.instance.numberNode(7))));
    assertThat(chosen()).isEmpty();
  }

  @Test
  void rowAndNoticeTellForHowLongAnUpstreamIsCold() {
    configureWarmup();
    fleet
        .upstreamRows()
        .onSnapshot(
            ImmutableList.of(
                new Row("a", 1, JsonNodeFactory.instance.objectNode().put("version", 1)),
                new Row("b", 2, coldRow(1_000)),
                new Row("c", 3, coldRow(-1))));
    assertThat(chosen()).containsExactly("a", "c");
    fleet.onNotice(
        fleet.balancer().entry("a").orElseThrow(),
        new UpstreamNotice(
            false,
            OptionalDouble.empty(),
            OptionalLong.of(500),
            Optional.empty(),
            Optional.empty(),
            false),
        "r");
    fleet.onNotice(
        fleet.balancer().entry("c").orElseThrow(),
        new UpstreamNotice(
            false,
            OptionalDouble.empty(),
            OptionalLong.empty(),
            Optional.of("not a number"),
            Optional.empty(),
            false),
        "r");
    assertThat(chosen()).containsExactly("c");
    Metrics metrics = Metrics.create();
    fleet.warmup().report(metrics);
    assertThat(metrics.scrape()).contains("briarward_cold_upstreams 2.0");
    scheduler.advanceTimeBy(999, TimeUnit.MILLISECONDS);
    assertThat(fleet.balancer().cold().count(999)).isEqualTo(1);
    scheduler.advanceTimeBy(1, TimeUnit.MILLISECONDS);
    fleet.warmup().report(metrics);
    assertThat(metrics.scrape()).contains("briarward_cold_upstreams 0.0");
  }

  private static JsonNode coldRow(long coldMillis) {
    return JsonNodeFactory.instance.objectNode().put("version", 1).put("coldMillis", coldMillis);
  }

  /** Sets a rate of which this node, which no other one knows, has no share. */
  private void configureWarmup() {
    fleet
        .balancer()
        .cold()
        .setServices(
            ImmutableMap.of(
                FakeFleetDecoder.SAMPLERS,
                new FleetService(
                    FakeFleetDecoder.SAMPLERS,
                    10,
                    0,
                    ImmutableList.of(),
                    Optional.empty(),
                    Optional.of(new FleetService.Warmup(10_000, 5)),
                    ImmutableList.of())));
  }
}
