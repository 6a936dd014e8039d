package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.fleet.LimitShares;
import io.briarward.core.fleet.ServiceLoad;
import io.briarward.core.fleet.UpstreamBalancer;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RunPlacementLoadTest {
  private static final int SLOTS = 8;
  private static final int SAMPLERS = 20;
  private static final int OWNERS = 20;
  private static final int ITEMS_PER_OWNER = 6;

  private final RunPlacement placement = RunPlacement.create();

  private static UpstreamEntry sampler(String id) {
    return new UpstreamEntry(
        id, "llm", "nadi", "10.0.0.1", 80, 1, SLOTS, false, false, "1", ImmutableMap.of("m", 1L));
  }

  /** An owner of a batch on a node of its own. */
  private static final class Owner {
    final UpstreamBalancer balancer;
    final RunPlacement placement = RunPlacement.create();

    Owner(SplittableRandom random) {
      balancer = UpstreamBalancer.create("nadi", LimitShares.create("n"), random.split());
      for (int i = 0; i < SAMPLERS; i++) {
        balancer.put(sampler("s" + i));
      }
    }

    Optional<UpstreamEntry> choose(long nowMillis) {
      ImmutableList<UpstreamEntry> available =
          balancer.available(
              "llm",
              ImmutableSet.of(),
              entry -> balancer.inFlight(entry.id()) < entry.slots(),
              nowMillis);
      ServiceLoad load =
          balancer
              .pacing()
              .load(
                  balancer.notDraining("llm").collect(ImmutableList.toImmutableList()), nowMillis);
      return placement.choose(balancer.pacing().compared(available, nowMillis), load, 1_000, 0);
    }
  }

  /** Starts the items of all owners in turn, and returns how many have to wait for a slot. */
  private static int waitingItems(boolean reportsLoad, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Map<String, Integer> running = new HashMap<>();
    List<Owner> owners = new ArrayList<>();
    for (int i = 0; i < OWNERS; i++) {
      Owner owner = new Owner(random);
      if (reportsLoad) {
        report(owner, sampler("s" + random.nextInt(SAMPLERS)), 0, 0);
      }
      owners.add(owner);
    }
    long nowMillis = 10_000;
    for (int item = 0; item < ITEMS_PER_OWNER; item++) {
      for (Owner owner : owners) {
        UpstreamEntry chosen = owner.choose(nowMillis).orElseThrow();
        owner.balancer.onSent(chosen.id());
        int runningNow = running.merge(chosen.id(), 1, Integer::sum);
        if (reportsLoad) {
          report(owner, chosen, runningNow, nowMillis);
        }
        owner.balancer.onAccepted(chosen.id());
        nowMillis++;
      }
    }
    return running.values().stream().mapToInt(count -> Math.max(0, count - SLOTS)).sum();
  }

  private static void report(Owner owner, UpstreamEntry sampler, int count, long nowMillis) {
    owner.balancer.onLoad(
        sampler,
        Optional.of(
            new UpstreamLoad(
                Math.min(SLOTS, count), Math.max(0, count - SLOTS), SLOTS, OptionalInt.of(100))),
        nowMillis);
  }

  /** Guards against owners that know only their own runs and all choose the same samplers. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void ownersOnDifferentNodesDoNotChooseTheSameSamplers(long seed) {
    assertThat(waitingItems(true, seed)).isAtMost(waitingItems(false, seed) / 4);
  }

  private UpstreamEntry choose(ServiceLoad load) {
    return placement
        .choose(ImmutableList.of(sampler("a"), sampler("b")), load, 1_000, 0)
        .orElseThrow();
  }

  @Test
  void samplerWithWaitingRunsOfOtherNodesIsAvoided() {
    ServiceLoad load =
        new ServiceLoad(sampler -> sampler.id().equals("a") ? 2 * SLOTS : 1, sampler -> 1);
    assertThat(choose(load).id()).isEqualTo("b");
  }

  @Test
  void samplerThatIsSlowAtTheMomentIsAvoided() {
    ServiceLoad load = new ServiceLoad(sampler -> 0, sampler -> sampler.id().equals("a") ? 2.5 : 1);
    assertThat(choose(load).id()).isEqualTo("b");
  }
}
