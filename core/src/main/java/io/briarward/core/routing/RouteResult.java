package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.errors.ErrorKind;
import java.util.function.Function;

/** The result of a routing decision: a chosen upstream, or the reason why none is available. */
public sealed interface RouteResult {

  /** Applies the function that matches this result and returns its value. */
  <T> T match(Function<Chosen, T> onChosen, Function<Rejected, T> onRejected);

  /**
   * An upstream was chosen and capacity was reserved there.
   *
   * @param choice the reservation, to be released through the router when the request ends
   */
  record Chosen(UpstreamChoice choice) implements RouteResult {
    /** Checks the field. */
    public Chosen {
      checkNotNull(choice, "choice");
    }

    @Override
    public <T> T match(Function<Chosen, T> onChosen, Function<Rejected, T> onRejected) {
      return onChosen.apply(this);
    }
  }

  /**
   * No upstream can take the request.
   *
   * <p>This does not indicate whether an earlier attempt of the same request ran.
   *
   * @param kind {@code NO_UPSTREAM} or {@code STALE_BOUND}
   * @param retryAfterMillis the suggested delay before a retry, in milliseconds
   */
  record Rejected(ErrorKind kind, long retryAfterMillis) implements RouteResult {
    /** Checks the fields. */
    public Rejected {
      checkNotNull(kind, "kind");
      checkArgument(
          retryAfterMillis >= 0, "retryAfterMillis is %s, expected >= 0", retryAfterMillis);
    }

    @Override
    public <T> T match(Function<Chosen, T> onChosen, Function<Rejected, T> onRejected) {
      return onRejected.apply(this);
    }
  }
}
