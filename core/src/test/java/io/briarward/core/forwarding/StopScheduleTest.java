package io.briarward.core.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class StopScheduleTest {
  private final StopSchedule schedule = new StopSchedule(2_500, 7_400);

  @Test
  void allRequestsAreTakenUntilCallersHaveNoticed() {
    assertThat(schedule.accepts(0, 10_000)).isTrue();
    assertThat(schedule.accepts(2_499, 60_000)).isTrue();
  }

  @Test
  void lateRequestThatEndsInTimeIsTaken() {
    assertThat(schedule.accepts(2_500, 7_400)).isTrue();
    assertThat(schedule.accepts(7_300, 7_400)).isTrue();
  }

  /** Such a request was passed on and cut off without an answer. */
  @Test
  void lateRequestThatMayNotEndInTimeIsRejected() {
    assertThat(schedule.accepts(2_500, 7_401)).isFalse();
    assertThat(schedule.accepts(7_401, 7_402)).isFalse();
  }

  @Test
  void callersNoticeBeforeRequestsAreEnded() {
    assertThrows(IllegalArgumentException.class, () -> new StopSchedule(2_500, 2_499));
  }
}
