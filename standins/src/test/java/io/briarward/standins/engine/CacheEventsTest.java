package io.briarward.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class CacheEventsTest {
  private final CacheEvents events = new CacheEvents();

  @Test
  void eventIsReturnedOnlyOncePublished() {
    events.record(CacheEvents.Type.STORED, "a", 100, false);

    assertThat(events.after(0, 99)).isEmpty();
    assertThat(events.after(0, 100)).hasSize(1);
  }

  @Test
  void lostEventLeavesGapInSequenceNumbers() {
    events.record(CacheEvents.Type.STORED, "a", 0, false);
    events.record(CacheEvents.Type.STORED, "b", 0, true);
    events.record(CacheEvents.Type.EVICTED, "a", 0, false);

    assertThat(events.after(0, 0).stream().map(CacheEvents.Event::sequence))
        .containsExactly(1L, 3L)
        .inOrder();
  }
}
