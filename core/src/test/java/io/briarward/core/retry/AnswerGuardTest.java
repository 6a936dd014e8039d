package io.briarward.core.retry;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.core.retry.AnswerGuard.Framing;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class AnswerGuardTest {
  @Test
  void responseWithoutMessageEndIsNotComplete() {
    AnswerGuard guard = AnswerGuard.create(Framing.MESSAGE_END, OptionalLong.empty());
    guard.onBytes(10);
    assertThat(guard.whole()).isFalse();
  }

  @Test
  void bodyShorterThanDeclaredIsNotComplete() {
    AnswerGuard guard = AnswerGuard.create(Framing.MESSAGE_END, OptionalLong.of(11));
    guard.onBytes(10);
    guard.onMessageEnd();
    assertThat(guard.whole()).isFalse();
  }

  @Test
  void streamWithoutFinalMarkerIsNotComplete() {
    AnswerGuard guard = AnswerGuard.create(Framing.FINAL_MARKER, OptionalLong.empty());
    guard.onMessageEnd();
    assertThat(guard.whole()).isFalse();
  }

  @Test
  void streamWithFinalMarkerAndMessageEndIsComplete() {
    AnswerGuard guard = AnswerGuard.create(Framing.FINAL_MARKER, OptionalLong.empty());
    guard.onFinalMarker();
    guard.onMessageEnd();
    assertThat(guard.whole()).isTrue();
  }
}
