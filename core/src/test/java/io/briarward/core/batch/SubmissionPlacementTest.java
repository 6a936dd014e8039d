package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against batches of one caller that each start at another VM, of which half have a quarter
 * of a core.
 */
final class SubmissionPlacementTest {
  private static final int CALLERS = 300;

  /** 18 VMs with 1.5 cores, 42 with 0.27 and 14 with 0.9. */
  private static ImmutableMap<String, OptionalDouble> unevenVms() {
    ImmutableMap.Builder<String, OptionalDouble> capacities = ImmutableMap.builder();
    for (int i = 0; i < 74; i++) {
      capacities.put("vm-" + i, OptionalDouble.of(i < 18 ? 1.5 : i < 60 ? 0.27 : 0.9));
    }
    return capacities.buildOrThrow();
  }

  private static Map<String, String> placements(ImmutableMap<String, OptionalDouble> capacities) {
    Map<String, String> placements = new HashMap<>();
    for (int i = 0; i < CALLERS; i++) {
      String caller = "host/route-" + i;
      placements.put(caller, SubmissionPlacement.choose(caller, capacities).orElseThrow());
    }
    return placements;
  }

  @Test
  void smallVmsRunNoBatchesThatCallersSubmit() {
    Set<String> chosen = new HashSet<>(placements(unevenVms()).values());
    for (String vm : chosen) {
      assertThat(unevenVms().get(vm).getAsDouble()).isAtLeast(0.75);
    }
    assertThat(chosen.size()).isGreaterThan(20);
  }

  @Test
  void batchesOfCallerGoToSameVmWhileItLives() {
    Map<String, String> before = placements(unevenVms());
    String lost = before.get("host/route-0");
    ImmutableMap<String, OptionalDouble> rest =
        ImmutableMap.copyOf(Maps.filterKeys(unevenVms(), vm -> !vm.equals(lost)));
    Map<String, String> after = placements(rest);
    before.forEach(
        (caller, vm) -> {
          if (!vm.equals(lost)) {
            assertThat(after.get(caller)).isEqualTo(vm);
          }
        });
    assertThat(after.get("host/route-0")).isNotEqualTo(lost);
  }

  @Test
  void vmsOfEqualCapacityRunWhatTheyAccept() {
    ImmutableMap<String, OptionalDouble> equal =
        ImmutableMap.of("a", OptionalDouble.of(0.75), "b", OptionalDouble.of(0.75));
    assertThat(SubmissionPlacement.choose("host/route", equal)).isEqualTo(Optional.empty());
  }

  @Test
  void vmsOfUnknownCapacityRunWhatTheyAccept() {
    ImmutableMap<String, OptionalDouble> unknown =
        ImmutableMap.of("a", OptionalDouble.empty(), "b", OptionalDouble.empty());
    assertThat(SubmissionPlacement.choose("host/route", unknown)).isEqualTo(Optional.empty());
  }
}
