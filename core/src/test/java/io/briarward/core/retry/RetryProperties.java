package io.briarward.core.retry;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.core.errors.RunState;
import io.briarward.core.retry.RetryPolicy.FailedAttempt;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

class RetryProperties {
  private enum Outcome {
    CONNECTION_REFUSED,
    CONNECTION_LOST_BEFORE_RUN,
    CONNECTION_LOST_AFTER_RUN,
    ANSWERED
  }

  @Property(seed = "20260101")
  void nonIdempotentRequestRunsAtMostOnce(
      @ForAll @Size(8) List<Outcome> outcomes, @ForAll long seed) {
    assertThat(new Trial(false, 100_000, seed).run(outcomes).runs).isAtMost(1);
  }

  @Property(seed = "20260102")
  void notRunIsReportedOnlyIfNothingWasSent(
      @ForAll boolean idempotent, @ForAll @Size(8) List<Outcome> outcomes, @ForAll long seed) {
    Trial trial = new Trial(idempotent, 100_000, seed).run(outcomes);
    if (trial.log.runState() == RunState.NOT_RUN) {
      assertThat(trial.bytesSent).isFalse();
    }
  }

  @Property(seed = "20260103")
  void nothingIsSentAfterTheDeadline(
      @ForAll @Size(8) List<Outcome> outcomes,
      @ForAll @LongRange(min = 1, max = 200) long dueAtMillis,
      @ForAll long seed) {
    Trial trial = new Trial(true, dueAtMillis, seed).run(outcomes);
    assertThat(trial.lastSentAtMillis).isLessThan(dueAtMillis);
  }

  @Property(seed = "20260104")
  void retriesStayWithinTheBudget(
      @ForAll @IntRange(min = 1, max = 400) int requests, @ForAll long seed) {
    RetryBudget budget = RetryBudget.create(0.1, 10);
    SplittableRandom random = new SplittableRandom(seed);
    int sent = 0;
    for (int i = 0; i < requests; i++) {
      Trial trial = new Trial(true, 100_000, random.nextLong(), budget);
      sent +=
          trial.run(List.of(Outcome.CONNECTION_LOST_AFTER_RUN, Outcome.CONNECTION_LOST_AFTER_RUN))
              .attempts;
    }
    assertThat((double) sent).isAtMost(requests + 10 + 0.1 * requests);
  }

  @Property(seed = "20260105")
  void onlySlowIdempotentRequestsAreHedgedBeforeTheDeadline(
      @ForAll boolean idempotent, @ForAll @LongRange(min = 0, max = 300) long nowMillis) {
    AttemptLog log = AttemptLog.create(idempotent);
    log.onAttempt();
    log.onSending();
    FailedAttempt attempt = new FailedAttempt(log, false, 250, 10);
    boolean hedges =
        RetryPolicy.DEFAULT.shouldHedge(attempt, RetryBudget.create(0.1, 10), 0, 100, nowMillis);
    assertThat(hedges).isEqualTo(idempotent && nowMillis >= 100 && nowMillis + 10 < 250);
  }

  /** A simulated request whose attempts have the given outcomes. */
  private static final class Trial {
    private final AttemptLog log;
    private final long dueAtMillis;
    private final SplittableRandom random;
    private final RetryBudget budget;
    private long nowMillis;
    private long lastSentAtMillis;
    private int runs;
    private int attempts;
    private boolean bytesSent;

    Trial(boolean idempotent, long dueAtMillis, long seed) {
      this(idempotent, dueAtMillis, seed, RetryBudget.create(0.1, 10));
    }

    Trial(boolean idempotent, long dueAtMillis, long seed, RetryBudget budget) {
      this.log = AttemptLog.create(idempotent);
      this.dueAtMillis = dueAtMillis;
      this.random = new SplittableRandom(seed);
      this.budget = budget;
    }

    Trial run(List<Outcome> outcomes) {
      budget.onRequest();
      for (Outcome outcome : outcomes) {
        attempt(outcome);
        boolean isRetried =
            outcome != Outcome.ANSWERED
                && RetryPolicy.DEFAULT
                    .onFailure(
                        new FailedAttempt(log, false, dueAtMillis, 0), budget, random, nowMillis)
                    .match(this::waitFor, giveUp -> false);
        if (!isRetried) {
          return this;
        }
      }
      return this;
    }

    private boolean waitFor(RetryDecision.Retry retry) {
      nowMillis += retry.delayMillis();
      return true;
    }

    private void attempt(Outcome outcome) {
      lastSentAtMillis = nowMillis;
      attempts++;
      log.onAttempt();
      nowMillis += 20;
      bytesSent |= outcome != Outcome.CONNECTION_REFUSED;
      runs += outcome == Outcome.CONNECTION_LOST_AFTER_RUN || outcome == Outcome.ANSWERED ? 1 : 0;
      if (outcome != Outcome.CONNECTION_REFUSED) {
        log.onSending();
      }
      if (outcome == Outcome.ANSWERED) {
        log.onAnswered();
      }
    }
  }
}
