package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.batch.RewardCall;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamNotice;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** Sends reward calls to upstreams. */
@FunctionalInterface
public interface RewardClient {
  /** How a reward call ended. */
  enum Outcome {
    /** The upstream answered with a score. */
    SCORED,
    /** The upstream failed to score the text. */
    FAILED,
    /** The upstream did not run the call. */
    NOT_RUN,
    /** No connection to the upstream could be opened, or it did not respond in time. */
    UNREACHABLE,
    /** The connection was lost, or the response was incomplete or unusable. */
    BROKEN
  }

  /**
   * The end of a reward call.
   *
   * @param score the score, present if and only if the outcome is {@link Outcome#SCORED}
   * @param notice what the response says about the upstream; empty without a response from it
   * @param cause describes an outcome without a score
   */
  record Reply(
      Outcome outcome, Optional<String> score, Optional<UpstreamNotice> notice, String cause) {
    /** Validates the components. */
    public Reply {
      checkNotNull(outcome, "outcome");
      checkNotNull(score, "score");
      checkNotNull(notice, "notice");
      checkNotNull(cause, "cause");
      checkArgument(
          score.isPresent() == (outcome == Outcome.SCORED), "score of outcome %s", outcome);
    }

    /** Returns a reply with a score. */
    public static Reply scored(String score, Optional<UpstreamNotice> notice) {
      return new Reply(Outcome.SCORED, Optional.of(score), notice, "");
    }

    /** Returns a reply without a score. */
    public static Reply without(Outcome outcome, Optional<UpstreamNotice> notice, String cause) {
      return new Reply(outcome, Optional.empty(), notice, cause);
    }

    /** Returns the end of a call to which the upstream sent no response of its own. */
    public static Reply withoutResponse(Outcome outcome, String cause) {
      return without(outcome, Optional.empty(), cause);
    }
  }

  /**
   * Sends a reward call and emits its end on the event loop.
   *
   * <p>Emits no errors. Disposing cancels the call.
   *
   * @param timeoutMillis the time that the upstream has to answer, in milliseconds
   */
  Single<Reply> score(RewardCall call, UpstreamEntry upstream, long timeoutMillis);
}
