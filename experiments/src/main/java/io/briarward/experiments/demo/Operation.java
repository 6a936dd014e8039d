package io.briarward.experiments.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A non-idempotent request and its attempts. Must be used by one thread at a time. */
final class Operation {
  private final String id;
  private final boolean hasIdempotencyKey;
  private final List<Attempt> attempts = new ArrayList<>();

  /**
   * One attempt to send the request.
   *
   * @param status the HTTP status, 0 after a lost connection or a time-out
   * @param runState whether the request ran, as a problem document states it; empty for other
   *     responses
   * @param body the body of the response
   */
  record Attempt(int status, Optional<String> runState, String body) {
    static final Attempt NO_RESPONSE = new Attempt(0, Optional.empty(), "");

    boolean succeeded() {
      return status == 200;
    }

    boolean statesNotRun() {
      return runState.equals(Optional.of("not-run"));
    }
  }

  Operation(String id, boolean hasIdempotencyKey) {
    this.id = id;
    this.hasIdempotencyKey = hasIdempotencyKey;
  }

  String id() {
    return id;
  }

  /** Returns whether the request carries an idempotency key and is retried after a failure. */
  boolean hasIdempotencyKey() {
    return hasIdempotencyKey;
  }

  void add(Attempt attempt) {
    attempts.add(attempt);
  }

  int attempts() {
    return attempts.size();
  }

  Optional<Attempt> answer() {
    return attempts.stream().filter(Attempt::succeeded).findFirst();
  }

  boolean everyAttemptStatesNotRun() {
    return attempts.stream().allMatch(Attempt::statesNotRun);
  }
}
