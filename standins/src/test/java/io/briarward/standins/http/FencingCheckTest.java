package io.briarward.standins.http;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class FencingCheckTest {
  private final Faults faults = Faults.of(1, Fault.IGNORE_FENCING);

  @Test
  void numberBelowTheHighestIsRejected() {
    FencingCheck check = FencingCheck.create(true, faults);
    check.tryAccept(5);

    assertThat(check.tryAccept(4)).isFalse();
    assertThat(check.tryAccept(5)).isTrue();
  }

  @Test
  void acceptedStaleNumberIsCounted() {
    FencingCheck check = FencingCheck.create(false, faults);
    check.tryAccept(5);
    check.tryAccept(4);

    var state = Json.object();
    check.addCounters(state);

    assertThat(state.path("staleOrdersAccepted").asInt()).isEqualTo(1);
  }
}
