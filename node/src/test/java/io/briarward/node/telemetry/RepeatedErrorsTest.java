package io.briarward.node.telemetry;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class RepeatedErrorsTest {
  private static final long INTERVAL_MILLIS = 1_000;

  private final RepeatedErrors errors = RepeatedErrors.withInterval(INTERVAL_MILLIS);

  @Test
  void firstErrorOfEachKindIsLogged() {
    assertThat(errors.onError("a", 0)).isEqualTo(OptionalLong.of(1));
    assertThat(errors.onError("b", 1)).isEqualTo(OptionalLong.of(1));
  }

  @Test
  void laterErrorsAreCountedUntilTheIntervalIsOver() {
    errors.onError("a", 0);
    for (int i = 1; i < INTERVAL_MILLIS; i++) {
      assertThat(errors.onError("a", i)).isEqualTo(OptionalLong.empty());
    }
    assertThat(errors.onError("a", INTERVAL_MILLIS)).isEqualTo(OptionalLong.of(INTERVAL_MILLIS));
    assertThat(errors.onError("a", INTERVAL_MILLIS + 1)).isEqualTo(OptionalLong.empty());
    assertThat(errors.totals()).containsExactly("a", INTERVAL_MILLIS + 2);
  }

  @Test
  void numberOfKindsIsBounded() {
    for (int i = 0; i < 10_000; i++) {
      errors.onError("kind " + i, 0);
    }
    assertThat(errors.totals().size()).isLessThan(100);
    assertThat(errors.totals().values().stream().mapToLong(Long::longValue).sum())
        .isEqualTo(10_000);
  }
}
