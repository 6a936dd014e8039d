package io.briarward.core.lease;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Multiset;
import com.google.common.collect.Range;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Load: 400 batches that 77 VMs, half of them with 0.27 and half with 0.9 of a core, take over. */
class WeightedCandidatesTest {
  private static final int VMS = 77;
  private static final int BATCHES = 400;
  private static final double SMALL = 0.27;
  private static final double LARGE = 0.9;

  private static ImmutableMap<String, OptionalDouble> mixedVms() {
    return IntStream.range(0, VMS)
        .boxed()
        .collect(
            ImmutableMap.toImmutableMap(
                vm -> "vm-" + vm + "#10.0.0." + vm + "#process",
                vm -> OptionalDouble.of(vm % 2 == 0 ? SMALL : LARGE)));
  }

  private static ImmutableMap<String, String> ownerByBatch(
      ImmutableMap<String, OptionalDouble> capacities) {
    return IntStream.range(0, BATCHES)
        .mapToObj(batch -> "batch-" + batch)
        .collect(
            ImmutableMap.toImmutableMap(
                batch -> batch,
                batch -> WeightedCandidates.choose(batch, capacities).orElseThrow()));
  }

  /** Guards against small VMs owning as many batches as large ones, as by the present selection. */
  @Test
  void smallVmsOwnFewerBatchesThanByEqualSelection() {
    ImmutableMap<String, OptionalDouble> capacities = mixedVms();
    Multiset<Double> weighted = HashMultiset.create();
    ownerByBatch(capacities).values().forEach(vm -> weighted.add(capacities.get(vm).getAsDouble()));
    Multiset<Double> equal = HashMultiset.create();
    for (int batch = 0; batch < BATCHES; batch++) {
      String vm = DutyCandidates.choose("batch-" + batch, capacities.keySet(), 1).iterator().next();
      equal.add(capacities.get(vm).getAsDouble());
    }
    // The 39 small VMs have 23.5 % of all capacity, which are 94 batches; 4 standard deviations of
    // a binomial draw are 34.
    assertThat(weighted.count(SMALL)).isIn(Range.closed(60, 128));
    // Half of the VMs are small, so equal selection gives them 203 on average.
    assertThat(equal.count(SMALL)).isIn(Range.closed(163, 243));
  }

  /** Guards against VMs of the previous version, whose rows have no capacity, being left out. */
  @Test
  void vmWithoutCapacityCountsAsTheMeanOfTheOthers() {
    ImmutableMap<String, OptionalDouble> known =
        ImmutableMap.of(
            "a",
            OptionalDouble.of(SMALL),
            "b",
            OptionalDouble.of(LARGE),
            "c",
            OptionalDouble.of((SMALL + LARGE) / 2));
    Map<String, OptionalDouble> withoutRow = new HashMap<>(known);
    withoutRow.put("c", OptionalDouble.empty());
    assertThat(ownerByBatch(ImmutableMap.copyOf(withoutRow))).isEqualTo(ownerByBatch(known));
  }

  /** Guards against different selections by VMs of this and of the previous version. */
  @Test
  void equalCapacitiesSelectAsDutyCandidates() {
    for (OptionalDouble capacity :
        ImmutableList.of(OptionalDouble.empty(), OptionalDouble.of(SMALL))) {
      ImmutableMap<String, OptionalDouble> capacities =
          mixedVms().keySet().stream()
              .collect(ImmutableMap.toImmutableMap(vm -> vm, vm -> capacity));
      ownerByBatch(capacities)
          .forEach(
              (batch, vm) ->
                  assertThat(DutyCandidates.choose(batch, capacities.keySet(), 1))
                      .containsExactly(vm));
    }
  }

  /** Guards against a loss of one VM that moves batches of VMs which remain. */
  @Test
  void lossOfOneVmMovesOnlyItsBatches() {
    ImmutableMap<String, OptionalDouble> all = mixedVms();
    String lost = all.keySet().asList().get(1);
    Map<String, OptionalDouble> rest = new HashMap<>(all);
    rest.remove(lost);
    ImmutableMap<String, String> after = ownerByBatch(ImmutableMap.copyOf(rest));
    ownerByBatch(all)
        .forEach(
            (batch, vm) -> {
              if (!vm.equals(lost)) {
                assertThat(after).containsEntry(batch, vm);
              }
            });
  }

  @Test
  void noCandidatesGiveNoSelection() {
    assertThat(WeightedCandidates.choose("batch", ImmutableMap.of())).isEmpty();
  }
}
