package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.fleet.UpstreamEntry;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RunPlacementTest {
  private static final UpstreamEntry FAST = sampler("fast", 1);
  private static final UpstreamEntry SLOW = sampler("slow", 1);
  private static final ImmutableList<UpstreamEntry> BOTH = ImmutableList.of(SLOW, FAST);

  private final RunPlacement placement = RunPlacement.create();
  private final Map<String, Integer> inFlight = new HashMap<>();

  private static UpstreamEntry sampler(String id, long bornMillis) {
    return new UpstreamEntry(
        id,
        "llm",
        "nadi",
        "10.0.0.1",
        80,
        bornMillis,
        12,
        false,
        false,
        "1",
        ImmutableMap.of("m", 1L));
  }

  private void sendEvents() {
    for (int i = 0; i < 50; i++) {
      placement.onEvent(FAST, 40);
      placement.onEvent(SLOW, 52);
    }
  }

  private UpstreamEntry choose(long expectedTokens, long tokenCapacity) {
    return placement.choose(BOTH, this::inFlight, expectedTokens, tokenCapacity).orElseThrow();
  }

  private int inFlight(UpstreamEntry sampler) {
    return inFlight.getOrDefault(sampler.id(), 0);
  }

  @Test
  void fasterSamplerIsChosenDespiteItsLoad() {
    sendEvents();
    for (int i = 0; i < 10; i++) {
      assertThat(choose(1_000, 0)).isEqualTo(FAST);
      inFlight.merge("fast", 1, Integer::sum);
    }
  }

  @Test
  void samplerWithoutEnoughMemoryIsAvoided() {
    sendEvents();
    placement.onStarted(FAST, 36_000);
    assertThat(choose(9_000, 38_000)).isEqualTo(SLOW);
    assertThat(choose(1_000, 38_000)).isEqualTo(FAST);
    placement.onEnded(FAST, 36_000);
    assertThat(choose(9_000, 38_000)).isEqualTo(FAST);
  }

  @Test
  void samplerWithoutEventsCountsAsAverage() {
    for (int i = 0; i < 50; i++) {
      placement.onEvent(SLOW, 52);
    }
    inFlight.put("slow", 1);
    assertThat(choose(1_000, 0)).isEqualTo(FAST);
  }

  @Test
  void longGapsDoNotCountAsSlowness() {
    sendEvents();
    for (int i = 0; i < 12; i++) {
      placement.onEvent(FAST, 900);
    }
    assertThat(choose(1_000, 0)).isEqualTo(FAST);
  }

  @Test
  void runMovesToClearlyFasterSamplerWithFreeCapacity() {
    sendEvents();
    assertThat(placement.worthMoving(SLOW, BOTH, this::inFlight, 1_000, 38_000)).isTrue();
    assertThat(placement.worthMoving(FAST, BOTH, this::inFlight, 1_000, 38_000)).isFalse();
    inFlight.put("fast", 6);
    assertThat(placement.worthMoving(SLOW, BOTH, this::inFlight, 1_000, 38_000)).isFalse();
    inFlight.put("fast", 0);
    placement.onStarted(FAST, 38_000);
    assertThat(placement.worthMoving(SLOW, BOTH, this::inFlight, 1_000, 38_000)).isFalse();
  }

  @Test
  void restartedSamplerHasNoHistory() {
    sendEvents();
    placement.onStarted(FAST, 38_000);
    UpstreamEntry restarted = sampler("fast", 2);
    placement.retain(ImmutableList.of(SLOW, restarted));
    assertThat(
            placement
                .choose(ImmutableList.of(SLOW, restarted), unused -> 0, 9_000, 38_000)
                .orElseThrow())
        .isEqualTo(SLOW);
    inFlight.put("slow", 1);
    assertThat(
            placement
                .choose(ImmutableList.of(SLOW, restarted), this::inFlight, 9_000, 38_000)
                .orElseThrow())
        .isEqualTo(restarted);
  }
}
