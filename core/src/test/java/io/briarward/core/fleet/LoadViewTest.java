package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class LoadViewTest {
  private static final UpstreamEntry A = entry("a");
  private static final UpstreamEntry B = entry("b");
  private static final ImmutableList<UpstreamEntry> BOTH = ImmutableList.of(A, B);

  private final LoadView view = new LoadView();

  private static UpstreamEntry entry(String id) {
    return new UpstreamEntry(
        id, "orders", "nadi", "10.0.0.1", 80, 1, 8, false, false, "1", ImmutableMap.of());
  }

  private void report(UpstreamEntry upstream, int running, int slowness, long nowMillis) {
    view.onReport(
        upstream.id(), new UpstreamLoad(running, 0, 8, OptionalInt.of(slowness)), nowMillis);
  }

  private double occupancy(UpstreamEntry upstream, long nowMillis) {
    return view.occupancy(upstream, view.means(BOTH, nowMillis), nowMillis);
  }

  private double slowness(UpstreamEntry upstream, long nowMillis) {
    return view.slowness(upstream, view.means(BOTH, nowMillis), nowMillis);
  }

  /** Guards against own requests that count twice, as own ones and as reported ones. */
  @Test
  void ownRequestsAreExactAndOthersReported() {
    view.onSent("a");
    view.onSent("a");
    report(A, 6, 100, 0);
    assertThat(occupancy(A, 0)).isWithin(1e-9).of(6);
    view.onEnded("a");
    view.onEnded("a");
    assertThat(occupancy(A, 0)).isWithin(1e-9).of(4);
    view.onEnded("a");
    assertThat(view.inFlight("a")).isEqualTo(0);
  }

  /** Guards against an upstream that is avoided for a load that has long ended. */
  @Test
  void reportedRequestsAge() {
    view.onNormalDuration(A, 20);
    report(A, 8, 100, 0);
    assertThat(view.isFresh(A, 20)).isTrue();
    assertThat(view.isFresh(A, 21)).isFalse();
    assertThat(occupancy(A, 1_000)).isWithin(1e-9).of(0);
  }

  @Test
  void upstreamWithoutReportCountsAsMean() {
    assertThat(occupancy(B, 0)).isEqualTo(0);
    report(A, 4, 300, 0);
    assertThat(occupancy(B, 0)).isWithin(1e-9).of(4);
    assertThat(slowness(B, 0)).isWithin(1e-9).of(3);
  }

  /** Guards against an upstream that is avoided for seconds after it was slow for 100 ms. */
  @Test
  void reportedSlownessAgesInLessThanOneSecond() {
    report(A, 0, 900, 0);
    report(B, 0, 100, 0);
    assertThat(slowness(A, 0)).isWithin(1e-9).of(9);
    assertThat(slowness(A, 500)).isLessThan(1.5);
  }

  @Test
  void slownessIsNoPropertyOfTheUpstream() {
    view.onNormalDuration(B, 20);
    report(A, 0, 900, 0);
    view.onNormalDuration(A, 180);
    report(A, 0, 100, 10);
    report(B, 0, 100, 10);
    LoadView.Means means = view.means(BOTH, 10);
    assertThat(view.completionMillis(A, means, 10))
        .isWithin(1e-6)
        .of(view.completionMillis(B, means, 10));
  }

  @Test
  void completionIsPredictedFromLoadSlownessAndQueue() {
    view.onNormalDuration(A, 20);
    report(A, 8, 100, 0);
    report(B, 2, 100, 0);
    LoadView.Means means = view.means(BOTH, 0);
    assertThat(view.completionMillis(A, means, 0))
        .isGreaterThan(view.completionMillis(B, means, 0));
    report(B, 2, 300, 0);
    assertThat(view.completionMillis(A, view.means(BOTH, 0), 0))
        .isLessThan(view.completionMillis(B, view.means(BOTH, 0), 0));
  }
}
