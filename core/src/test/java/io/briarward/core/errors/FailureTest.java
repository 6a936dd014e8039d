package io.briarward.core.errors;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class FailureTest {
  @Test
  void notRunHasRunStateNotRun() {
    assertThat(Failure.notRun(ErrorKind.NO_ROUTE, "x").runState()).isEqualTo(RunState.NOT_RUN);
  }

  @Test
  void retryAfterIsRejectedForNonRetryableKind() {
    assertThrows(IllegalArgumentException.class, () -> Failure.notRun(ErrorKind.NO_ROUTE, "x", 10));
  }
}
