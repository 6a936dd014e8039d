package io.briarward.standins.http;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class FencingCheckTest {
  private final Faults faults = Faults.of(1, Fault.IGNORE_FENCING);

  @Test
  void numberBelowTheHighestIsRefused() {
    FencingCheck check = FencingCheck.create(true, faults);
    check.accepts(5);

    assertThat(check.accepts(4)).isFalse();
    assertThat(check.accepts(5)).isTrue();
  }

  @Test
  void acceptedOldNumberIsCounted() {
    FencingCheck check = FencingCheck.create(false, faults);
    check.accepts(5);
    check.accepts(4);

    var state = Json.object();
    check.describe(state);

    assertThat(state.path("staleOrdersAccepted").asInt()).isEqualTo(1);
  }
}
