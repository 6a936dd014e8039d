package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RejectionBackoffTest {
  private final RejectionBackoff backoff = RejectionBackoff.create();

  private void reject(int times, long nowMillis) {
    for (int i = 0; i < times; i++) {
      backoff.onSent();
      backoff.onRejected(nowMillis);
    }
  }

  @Test
  void fewRejectionsChangeNothing() {
    reject(15, 0);
    assertThat(backoff.rank()).isEqualTo(0);
    assertThat(backoff.permits(0)).isTrue();
  }

  @Test
  void rejectedBatchTriesSingleItemsAfterDelays() {
    reject(16, 100);
    assertThat(backoff.permits(100)).isFalse();
    assertThat(backoff.permits(125)).isTrue();
    backoff.onSent();
    assertThat(backoff.permits(10_000)).isFalse();
    backoff.onEnded();
    assertThat(backoff.permits(10_000)).isTrue();
  }

  @Test
  void delayIsBounded() {
    reject(100_000, 100);
    assertThat(backoff.permits(299)).isFalse();
    assertThat(backoff.permits(300)).isTrue();
  }

  @Test
  void rankGrowsWithTheLogarithmOfTheRejections() {
    reject(16, 0);
    assertThat(backoff.rank()).isEqualTo(1);
    reject(16, 0);
    assertThat(backoff.rank()).isEqualTo(2);
    reject(32, 0);
    assertThat(backoff.rank()).isEqualTo(3);
  }

  @Test
  void acceptedItemEndsTheBackoff() {
    reject(1_000, 0);
    backoff.onSent();
    backoff.onAccepted();
    assertThat(backoff.rank()).isEqualTo(0);
    assertThat(backoff.permits(0)).isTrue();
  }
}
