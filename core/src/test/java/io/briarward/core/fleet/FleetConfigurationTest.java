package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;

class FleetConfigurationTest {
  private static FleetRoute route(String name, String prefix, FleetRoute.Target... targets) {
    return route(name, prefix, FleetRoute.Kind.IDEMPOTENT, targets);
  }

  private static FleetRoute route(
      String name, String prefix, FleetRoute.Kind kind, FleetRoute.Target... targets) {
    return new FleetRoute(
        name,
        "mill.example",
        prefix,
        kind,
        ImmutableList.copyOf(targets),
        1_500,
        180,
        2,
        0,
        false,
        0,
        60_000,
        false);
  }

  private static FleetRoute streams(String prefix, String service) {
    return route(
        prefix, prefix, FleetRoute.Kind.RESUMABLE_STREAM, new FleetRoute.Target(service, 1));
  }

  private static FleetConfiguration configuration(FleetRoute... routes) {
    return new FleetConfiguration(
        1,
        ImmutableList.copyOf(routes),
        ImmutableMap.of(),
        ImmutableMap.of("key-1", "nadi-mill"),
        true,
        new FleetConfiguration.CallerLimits(16_384, 1 << 20, 15_000));
  }

  @Test
  void longestMatchingPrefixIsChosen() {
    FleetRoute all = route("all", "/", new FleetRoute.Target("a", 1));
    FleetRoute orders = route("orders", "/orders/", new FleetRoute.Target("b", 1));
    FleetConfiguration configuration = configuration(all, orders);
    assertThat(configuration.route("mill.example", "/orders/7")).hasValue(orders);
    assertThat(configuration.route("mill.example", "/orders")).hasValue(all);
    assertThat(configuration.route("other.example", "/orders/7")).isEmpty();
  }

  @Test
  void requestsAreSplitByTargetWeights() {
    FleetRoute split =
        route("split", "/", new FleetRoute.Target("a", 90), new FleetRoute.Target("b", 10));
    assertThat(split.service(0)).isEqualTo("a");
    assertThat(split.service(0.899)).isEqualTo("a");
    assertThat(split.service(0.901)).isEqualTo("b");
    assertThat(split.service(0.999999)).isEqualTo("b");
  }

  @Test
  void streamsMoveIfTheServiceOfSomeOfTheirPathsChanges() {
    FleetConfiguration all = configuration(streams("/", "a"));
    assertThat(all.movesStreams(configuration(streams("/", "b")))).isTrue();
    FleetConfiguration split = configuration(streams("/", "a"), streams("/t/", "b"));
    assertThat(all.movesStreams(split)).isTrue();
    assertThat(split.movesStreams(all)).isTrue();
  }

  @Test
  void streamsDoNotMoveIfRoutesOfOtherPathsOrOfOtherRequestsChange() {
    FleetConfiguration before =
        configuration(streams("/s/", "a"), route("o", "/o/", new FleetRoute.Target("b", 1)));
    FleetConfiguration after =
        configuration(
            streams("/s/", "a"),
            streams("/t/", "b"),
            route("o", "/o/", new FleetRoute.Target("c", 1)));
    assertThat(before.movesStreams(after)).isFalse();
    assertThat(before.movesStreams(configuration(streams("/s/", "a")))).isFalse();
  }

  @Test
  void keyMapsToItsOrganisation() {
    FleetConfiguration configuration = configuration();
    assertThat(configuration.organisation("key-1")).hasValue("nadi-mill");
    assertThat(configuration.organisation("key-2")).isEmpty();
  }

  @Test
  void pathPrefixWithoutTrailingSlashIsRejected() {
    assertThrows(
        IllegalArgumentException.class, () -> route("bad", "/a", new FleetRoute.Target("a", 1)));
  }
}
