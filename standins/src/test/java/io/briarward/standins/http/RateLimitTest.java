package io.briarward.standins.http;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RateLimitTest {
  private final RateLimit limit = RateLimit.create(2, 0);

  @Test
  void operationsAboveTheRateAreRejectedUntilTheBucketRefills() {
    assertThat(limit.tryAcquire(1, 2, 0)).isTrue();
    assertThat(limit.tryAcquire(1, 2, 0)).isTrue();
    assertThat(limit.tryAcquire(1, 2, 0)).isFalse();
    assertThat(limit.tryAcquire(1, 2, 500)).isTrue();
  }

  @Test
  void operationLargerThanTheBurstRunsEventually() {
    limit.tryAcquire(2, 2, 0);

    assertThat(limit.tryAcquire(4, 2, 1_000)).isFalse();
    assertThat(limit.tryAcquire(4, 2, 2_000)).isTrue();
  }
}
