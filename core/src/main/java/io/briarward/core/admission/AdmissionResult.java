package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.errors.Failure;
import java.util.function.Function;
import java.util.function.Supplier;

/** The result of offering a request to {@link AdmissionControl}. */
public sealed interface AdmissionResult {

  /** Calls the function for the kind of this result and returns its value. */
  <T> T match(Supplier<T> onAdmitted, Supplier<T> onQueued, Function<Failure, T> onRejected);

  /** The request may run now; report its end to {@link AdmissionControl#onFinished}. */
  record Admitted() implements AdmissionResult {
    @Override
    public <T> T match(
        Supplier<T> onAdmitted, Supplier<T> onQueued, Function<Failure, T> onRejected) {
      return onAdmitted.get();
    }
  }

  /** The request waits; a later {@link AdmissionControl#poll} admits or rejects it. */
  record Queued() implements AdmissionResult {
    @Override
    public <T> T match(
        Supplier<T> onAdmitted, Supplier<T> onQueued, Function<Failure, T> onRejected) {
      return onQueued.get();
    }
  }

  /**
   * The request was rejected and not sent to an upstream.
   *
   * @param failure the failure to answer with, including the retry delay
   */
  record Rejected(Failure failure) implements AdmissionResult {
    /** Checks the field. */
    public Rejected {
      checkNotNull(failure, "failure");
    }

    @Override
    public <T> T match(
        Supplier<T> onAdmitted, Supplier<T> onQueued, Function<Failure, T> onRejected) {
      return onRejected.apply(failure);
    }
  }
}
