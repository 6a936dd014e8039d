package io.briarward.core.idempotency;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.RunState;
import io.briarward.core.idempotency.IdempotencyRecord.Answer;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class IdempotencyDecisionTest {
  private static final IdempotencyRecord MINE = IdempotencyRecord.running("f", "mine");
  private static final IdempotencyRecord OTHER = IdempotencyRecord.running("f", "other");

  @Test
  void requestWithOwnRecordIsRun() {
    assertThat(IdempotencyDecision.decide(MINE, MINE)).isEqualTo(new IdempotencyDecision.Run());
  }

  @Test
  void requestWithAnsweredRecordIsReplayed() {
    Answer answer = new Answer(200, "text/plain", Optional.of("first"));

    assertThat(IdempotencyDecision.decide(MINE, OTHER.withAnswer(answer)))
        .isEqualTo(new IdempotencyDecision.Replay(answer));
  }

  @Test
  void requestWithRunningRecordOfAnotherAttemptIsRejected() {
    IdempotencyDecision.Refuse refuse =
        (IdempotencyDecision.Refuse) IdempotencyDecision.decide(MINE, OTHER);

    assertThat(refuse.failure().kind()).isEqualTo(ErrorKind.IN_PROGRESS);
    assertThat(refuse.failure().runState()).isEqualTo(RunState.UNKNOWN);
  }

  @Test
  void recordParsesFromItsJson() {
    IdempotencyRecord record =
        OTHER.withAnswer(new Answer(201, "application/json", Optional.empty()));

    assertThat(IdempotencyRecord.fromJson(record.toJson())).isEqualTo(record);
  }
}
