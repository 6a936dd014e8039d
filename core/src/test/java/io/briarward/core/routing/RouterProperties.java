package io.briarward.core.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class RouterProperties {
  private static final String SERVICE = "recipe-llm";
  private static final int SLOTS = 4;

  @Property(seed = "20260301", tries = 100)
  void leavingAndStaleUpstreamsAreNeverChosen(
      @ForAll @IntRange(min = 1, max = 40) int upstreams, @ForAll long seed) {
    Fleet fleet = new Fleet(upstreams, 0, seed);
    for (int step = 0; step < 400; step++) {
      fleet.applyRandomChange();
      long minWeightVersion = fleet.random.nextLong(4);
      RouteRequest request = fleet.request().minWeightVersion(minWeightVersion).build();
      Optional<UpstreamChoice> choice = fleet.choose(request);
      if (choice.isPresent()) {
        String id = choice.get().upstream().id();
        assertThat(fleet.leaving).doesNotContain(id);
        assertThat(fleet.versions.getOrDefault(id, 0L)).isAtLeast(minWeightVersion);
      }
    }
  }

  @Property(seed = "20260302", tries = 100)
  void eligibleUpstreamIsAlwaysFound(
      @ForAll @IntRange(min = 1, max = 40) int upstreams, @ForAll long seed) {
    Fleet fleet = new Fleet(upstreams, 0, seed);
    for (int step = 0; step < 200; step++) {
      fleet.applyRandomChange();
      long minWeightVersion = fleet.random.nextLong(4);
      RouteRequest request = fleet.request().minWeightVersion(minWeightVersion).build();
      boolean found = fleet.choose(request).isPresent();
      assertThat(found).isEqualTo(fleet.hasEligible(minWeightVersion));
    }
  }

  @Property(seed = "20260303", tries = 60)
  void popularPrefixKeepsUpstreamsWithinTheLoadBound(
      @ForAll @IntRange(min = 2, max = 60) int upstreams,
      @ForAll @IntRange(min = 1, max = 600) int requests,
      @ForAll long seed) {
    Fleet fleet = new Fleet(upstreams, 0, seed);
    Map<String, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < requests; i++) {
      RouteRequest popular = fleet.request().prefixHash(42).promptTokens(100_000).build();
      String id = fleet.choose(popular).orElseThrow().upstream().id();
      inFlight.merge(id, 1, Integer::sum);
      double mean = (i + 1.0) / upstreams;
      double bound = Math.max(SLOTS, RoutingPolicy.DEFAULT.loadFactor() * mean + 1);
      assertThat((double) inFlight.get(id)).isAtMost(bound);
    }
  }

  @Property(seed = "20260304", tries = 100)
  void reclaimableShareIsNeverExceeded(
      @ForAll @DoubleRange(min = 0, max = 1) double share, @ForAll long seed) {
    Fleet fleet = new Fleet(6, 6, seed);
    double reclaimable = 0;
    for (int i = 1; i <= 300; i++) {
      RouteRequest request = fleet.request().reclaimableShare(share).build();
      UpstreamChoice choice = fleet.choose(request).orElseThrow();
      reclaimable += choice.upstream().reclaimable() ? 1 : 0;
      assertThat(reclaimable).isAtMost(share * i + 1e-6);
      fleet.router.onFinished(choice, fleet.nowMillis);
    }
  }

  @Property(seed = "20260305", tries = 100)
  void everyOutcomeReleasesTheReservation(@ForAll long seed) {
    Fleet fleet = new Fleet(5, 0, seed);
    List<UpstreamChoice> unreleased = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      fleet.choose(fleet.request().build()).ifPresent(unreleased::add);
      if (!unreleased.isEmpty() && fleet.random.nextBoolean()) {
        fleet.release(unreleased.remove(fleet.random.nextInt(unreleased.size())));
      }
    }
    assertThat(fleet.router.reservedCount()).isEqualTo(unreleased.size());
    unreleased.forEach(fleet::release);
    assertThat(fleet.router.reservedCount()).isEqualTo(0);
  }

  /** A router with upstreams that receive random changes. */
  private static final class Fleet {
    private final SplittableRandom random;
    private final Router router;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Set<String> leaving = new HashSet<>();
    private final Map<String, Long> versions = new HashMap<>();
    private long nowMillis;

    Fleet(int onDemand, int reclaimable, long seed) {
      random = new SplittableRandom(seed);
      router = Router.create("nadi", RoutingPolicy.DEFAULT, random.split());
      for (int i = 0; i < onDemand + reclaimable; i++) {
        String id = "u" + i;
        boolean isReclaimable = i >= onDemand;
        upstreams.put(
            id, new Upstream(id, "nadi", "127.0.0.1", 9_000, isReclaimable, false, SLOTS));
      }
      router.replaceUpstreams(SERVICE, ImmutableList.copyOf(upstreams.values()));
    }

    RouteRequest.Builder request() {
      return RouteRequest.builder(SERVICE, "vatuwaqa");
    }

    Optional<UpstreamChoice> choose(RouteRequest request) {
      nowMillis += random.nextLong(20);
      return router
          .choose(request, nowMillis)
          .match(chosen -> Optional.of(chosen.choice()), rejected -> Optional.empty());
    }

    void release(UpstreamChoice choice) {
      int outcome = random.nextInt(3);
      if (outcome == 0) {
        router.onFinished(choice, nowMillis);
      } else if (outcome == 1) {
        router.onFailed(choice, nowMillis);
      } else {
        router.onReleased(choice, nowMillis);
      }
    }

    void applyRandomChange() {
      String id = "u" + random.nextInt(upstreams.size());
      if (random.nextInt(20) == 0) {
        leaving.add(id);
        router.markLeaving(id);
      } else {
        long version = Math.max(versions.getOrDefault(id, 0L), random.nextLong(4));
        versions.put(id, version);
        LoadReport report =
            new LoadReport(random.nextInt(8), random.nextInt(3), SLOTS, version, nowMillis);
        router.onLoadReport(id, report, nowMillis);
      }
    }

    boolean hasEligible(long minWeightVersion) {
      return upstreams.keySet().stream()
          .filter(id -> !leaving.contains(id))
          .anyMatch(id -> versions.getOrDefault(id, 0L) >= minWeightVersion);
    }
  }
}
