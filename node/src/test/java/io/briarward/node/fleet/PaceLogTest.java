package io.briarward.node.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.fleet.LimitShares;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamLoad;
import io.briarward.core.fleet.UpstreamNotice;
import io.briarward.core.platform.Row;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.telemetry.Metrics;
import io.briarward.node.testing.FakeFleetDecoder;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The load in notices reaches the balancer and the metrics. */
class PaceLogTest {
  private final TestScheduler scheduler = new TestScheduler();
  private final FleetState fleet =
      FleetState.create(
          new FakeFleetDecoder(),
          scheduler,
          EventLog.create(scheduler),
          "nadi",
          LimitShares.create("front-1"));
  private final Metrics metrics = Metrics.create();

  @BeforeEach
  void addUpstream() {
    fleet
        .upstreamRows()
        .onSnapshot(ImmutableList.of(new Row("a", 1, FakeFleetDecoder.samplerRow(1, false))));
    PaceMetrics.register(
        metrics.registry(), fleet.balancer(), () -> scheduler.now(TimeUnit.MILLISECONDS));
  }

  private UpstreamEntry upstream() {
    return fleet.balancer().entry("a").orElseThrow();
  }

  private void notice(Optional<UpstreamLoad> load, boolean invalid) {
    fleet.onNotice(
        upstream(),
        new UpstreamNotice(
            false, OptionalDouble.empty(), OptionalLong.empty(), Optional.empty(), load, invalid),
        "r");
  }

  /** Guards against a faulty header after which an upstream is not served, or no longer paced. */
  @Test
  void invalidLoadChangesNothing() {
    notice(Optional.empty(), true);
    assertThat(fleet.balancer().pacing().inForce(upstream())).isFalse();
    notice(Optional.of(new UpstreamLoad(3, 0, 8, OptionalInt.of(100))), false);
    notice(Optional.empty(), true);
    assertThat(fleet.balancer().pacing().inForce(upstream())).isTrue();
  }

  @Test
  void metricsShowPacedUpstreamsOnly() {
    assertThat(metrics.scrape()).doesNotContain("briarward_upstream_window{");
    notice(Optional.of(new UpstreamLoad(3, 2, 8, OptionalInt.of(100))), false);
    String service = upstream().service();
    String scraped = metrics.scrape();
    assertThat(scraped).contains("briarward_upstream_window{service=\"" + service + "\"} 1.0");
    assertThat(scraped).contains("briarward_upstream_load{service=\"" + service + "\"} 5.0");

    fleet.balancer().onSent("a");
    fleet.balancer().onRejected("a", 0, 50);
    assertThat(metrics.scrape())
        .contains("briarward_upstream_rejections_total{service=\"" + service + "\"} 1.0");
  }
}
