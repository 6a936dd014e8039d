package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.batch.CompetingBatches.Turn;
import io.briarward.core.batch.CompetingBatches.Work;
import io.briarward.core.fleet.FleetConfiguration;
import io.briarward.core.fleet.FleetService;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class CompetingBatchesTest {
  private static Optional<FleetConfiguration> configuration(FleetService... services) {
    return Optional.of(
        new FleetConfiguration(
            1,
            ImmutableList.of(),
            List.of(services).stream()
                .collect(ImmutableMap.toImmutableMap(FleetService::name, service -> service)),
            ImmutableMap.of(),
            false,
            new FleetConfiguration.CallerLimits(16_384, 1 << 20, 15_000)));
  }

  private static FleetService service(String name, String... models) {
    return new FleetService(name, 8, 0, ImmutableList.copyOf(models), Optional.empty());
  }

  /** Guards against a change of what deployments with a single trainer do. */
  @Test
  void batchesCompeteOnlyWhereSeveralTrainersShareSamplers() {
    assertThat(CompetingBatches.competeOn(configuration(service("s", "m", "n")), "s")).isTrue();
    assertThat(CompetingBatches.competeOn(configuration(service("s", "m"), service("t", "n")), "s"))
        .isTrue();
    assertThat(CompetingBatches.competeOn(configuration(service("s", "m")), "s")).isFalse();
    assertThat(CompetingBatches.competeOn(configuration(service("s", "m"), service("t", "m")), "s"))
        .isFalse();
    assertThat(CompetingBatches.competeOn(configuration(service("s"), service("t", "m", "n")), "s"))
        .isFalse();
    assertThat(CompetingBatches.competeOn(configuration(), "s")).isFalse();
    assertThat(CompetingBatches.competeOn(Optional.empty(), "s")).isFalse();
  }

  /** Guards against surplus groups of one batch starting before the due groups of another. */
  @Test
  void neededGroupsOfAllBatchesPrecedeTheOthers() {
    assertThat(
            CompetingBatches.turns(
                List.of(new Work("b", 9_000, 4), new Work("c", 8_000, 9), new Work("a", 9_000, 2))))
        .containsExactly(
            new Turn("c", GroupStanding.ON_TIME),
            new Turn("a", GroupStanding.ON_TIME),
            new Turn("b", GroupStanding.ON_TIME),
            new Turn("c", GroupStanding.LATE),
            new Turn("a", GroupStanding.LATE),
            new Turn("b", GroupStanding.LATE),
            new Turn("c", GroupStanding.SURPLUS),
            new Turn("a", GroupStanding.SURPLUS),
            new Turn("b", GroupStanding.SURPLUS))
        .inOrder();
    assertThat(CompetingBatches.turns(List.of())).isEmpty();
  }

  /** Guards against a batch that samplers reject and that gets the turns before all others. */
  @Test
  void rejectedBatchFollowsAllTurnsOfTheOthers() {
    ImmutableList<CompetingBatches.Turn> turns =
        CompetingBatches.turns(
            ImmutableList.of(
                new CompetingBatches.Work("rejected", 0, 1, 1),
                new CompetingBatches.Work("other", 10, 5)));
    int others = GroupStanding.values().length;
    assertThat(turns.stream().limit(others).map(CompetingBatches.Turn::batchId).distinct().toList())
        .containsExactly("other");
    assertThat(turns).hasSize(2 * others);
  }
}
