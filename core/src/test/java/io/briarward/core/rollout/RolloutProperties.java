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

  /**
   * Covers restarted owners, two owners at once, lost responses, rejected operations, trainers that
   * reconnect with old cursors, and weight swaps.
   */
  @Property(seed = "4201", tries = 300)
  void groupsAreDeliveredOnceCompleteFreshAndWithCorrectVersions(
      @ForAll("schedules") List<Integer> schedule) {
    RolloutSimulation simulation = new RolloutSimulation();
    simulation.run(ImmutableList.copyOf(schedule));
    simulation.runToEnd();
  }
}
