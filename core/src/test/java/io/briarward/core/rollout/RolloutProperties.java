package io.briarward.core.rollout;

import com.google.common.collect.ImmutableList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class RolloutProperties {
  @Provide
  Arbitrary<List<Integer>> schedules() {
    return Arbitraries.integers().between(0, 16 * 64 - 1).list().ofMinSize(200).ofMaxSize(1_000);
  }

  /** Kills, two owners, lost answers, outages, reconnects with old cursors and swaps. */
  @Property(seed = "4201", tries = 300)
  void groupsAreDeliveredOnceWholeFreshAndAttributed(@ForAll("schedules") List<Integer> schedule) {
    RolloutSimulation simulation = new RolloutSimulation();
    simulation.run(ImmutableList.copyOf(schedule));
    simulation.runToEnd();
  }
}
