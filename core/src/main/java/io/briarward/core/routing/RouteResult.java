package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.errors.ErrorKind;
import java.util.function.Function;

/** The outcome of a routing decision: an upstream, or the reason why there is none. */
public sealed interface RouteResult {

  /** Returns the value of the function that matches this outcome. */
  <T> T match(Function<Chosen, T> onChosen, Function<Refused, T> onRefused);

  /**
   * An upstream was chosen and its place reserved.
   *
   * @param choice what to send to, to be given back to the router when the request ends
   */
  record Chosen(UpstreamChoice choice) implements RouteResult {
    /** Checks the field. */
    public Chosen {
      checkNotNull(choice, "choice");
    }

    @Override
    public <T> T match(Function<Chosen, T> onChosen, Function<Refused, T> onRefused) {
      return onChosen.apply(this);
    }
  }

  /**
   * No upstream can take the request.
   *
   * <p>It does not say whether an earlier attempt of the same request ran.
   *
   * @param kind {@code NO_UPSTREAM} or {@code STALE_BOUND}
   * @param retryAfterMillis when to come back, in milliseconds
   */
  record Refused(ErrorKind kind, long retryAfterMillis) implements RouteResult {
    /** Checks the fields. */
    public Refused {
      checkNotNull(kind, "kind");
      checkArgument(retryAfterMillis >= 0, "retryAfterMillis is %s", retryAfterMillis);
    }

    @Override
    public <T> T match(Function<Chosen, T> onChosen, Function<Refused, T> onRefused) {
      return onRefused.apply(this);
    }
  }
}
