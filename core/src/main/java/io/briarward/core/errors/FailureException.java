package io.briarward.core.errors;

import static com.google.common.base.Preconditions.checkNotNull;

/** An exception that wraps a {@link Failure}. */
public final class FailureException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Failure failure;

  /** Creates an exception without a stack trace, since failures are expected outcomes. */
  public FailureException(Failure failure) {
    super(
        checkNotNull(failure, "failure").kind().label() + ": " + failure.detail(),
        null,
        false,
        false);
    this.failure = failure;
  }

  /** Returns the failure. */
  public Failure failure() {
    return failure;
  }
}
