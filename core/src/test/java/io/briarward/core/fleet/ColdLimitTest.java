package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ColdLimitTest {
  private static ColdLimit limit(double perSecond, double factor, double slack, String... models) {
    FleetService.Warmup warmup = new FleetService.Warmup(10_000, perSecond);
    FleetService service =
        new FleetService(
            "orders",
            10,
            0,
            ImmutableList.copyOf(models),
            Optional.empty(),
            Optional.of(warmup),
            ImmutableList.of());
    return ColdLimit.of(service, warmup, new FleetBounds(factor, slack, 5_000));
  }

  /** The sum of the rate and of one request of each sender exceeded the bound of a second. */
  @Test
  void rateAndOneRequestOfEachSenderFitIntoTheBound() {
    for (double perSecond : new double[] {0.1, 0.5, 1, 3, 9.5, 40, 500}) {
      for (double factor : new double[] {0, 0.5, 1, 1.1, 1.5, 3}) {
        for (double slack : new double[] {0, 0.5, 1, 5, 20}) {
          ColdLimit limit = limit(perSecond, factor, slack);
          assertThat(limit.maxSenders() + limit.perSecond())
              .isAtMost(perSecond * factor + slack + 1e-9);
          assertThat(limit.perSecond()).isAtMost(perSecond);
        }
      }
    }
  }

  @Test
  void boundOfTheKnownDeploymentAllowsTheToleratedRateFromSeveralSenders() {
    assertThat(limit(9.5, 1.5, 5)).isEqualTo(new ColdLimit(9.5, 8));
  }

  /** Orders to load weights come on top of the requests that the senders pace. */
  @Test
  void requestsOfTheLeaseHolderAreReservedWhereModelsRun() {
    assertThat(limit(9.5, 1.5, 5, "m")).isEqualTo(new ColdLimit(9.5, 6));
  }

  @Test
  void boundBelowOneRequestAllowsNone() {
    assertThat(limit(0.5, 1, 0.4)).isEqualTo(new ColdLimit(0, 0));
  }
}
