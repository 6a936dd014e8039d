package io.briarward.experiments.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A non-idempotent request and every answer its caller got to it. Confined to one thread at a time.
 */
final class Operation {
  private final String id;
  private final boolean keyed;
  private final List<Attempt> attempts = new ArrayList<>();

  /**
   * One sending of the request.
   *
   * @param status the HTTP status, 0 when the connection broke
   * @param runState what the answer states of the run, empty unless it is a problem document
   * @param body the body
   */
  record Attempt(int status, Optional<String> runState, String body) {
    static final Attempt BROKEN = new Attempt(0, Optional.empty(), "");

    boolean succeeded() {
      return status == 200;
    }

    boolean statesNotRun() {
      return runState.equals(Optional.of("not-run"));
    }
  }

  Operation(String id, boolean keyed) {
    this.id = id;
    this.keyed = keyed;
  }

  String id() {
    return id;
  }

  /** Returns whether the request carries an idempotency key and is sent again after a failure. */
  boolean keyed() {
    return keyed;
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
