package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.errors.Failure;
import java.util.function.Function;
import java.util.function.Supplier;

/** The answer to an offered request. */
public sealed interface AdmissionResult {

  /** Returns the value of the function that matches this result. */
  <T> T match(Supplier<T> onAdmitted, Supplier<T> onQueued, Function<Failure, T> onRefused);

  /** The request may run now and must be ended with {@link AdmissionControl#onFinished}. */
  record Admitted() implements AdmissionResult {
    @Override
    public <T> T match(
        Supplier<T> onAdmitted, Supplier<T> onQueued, Function<Failure, T> onRefused) {
      return onAdmitted.get();
    }
  }

  /** The request waits; a later {@link AdmissionControl#poll} admits or refuses it. */
  record Queued() implements AdmissionResult {
    @Override
    public <T> T match(
        Supplier<T> onAdmitted, Supplier<T> onQueued, Function<Failure, T> onRefused) {
      return onQueued.get();
    }
  }

  /**
   * The request was refused and not sent anywhere.
   *
   * @param failure the answer, with the time to come back
   */
  record Refused(Failure failure) implements AdmissionResult {
    /** Checks the field. */
    public Refused {
      checkNotNull(failure, "failure");
    }

    @Override
    public <T> T match(
        Supplier<T> onAdmitted, Supplier<T> onQueued, Function<Failure, T> onRefused) {
      return onRefused.apply(failure);
    }
  }
}
