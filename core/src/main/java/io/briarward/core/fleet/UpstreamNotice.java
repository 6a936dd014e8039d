package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What a response says about the upstream that sent it.
 *
 * @param leaving whether the upstream leaves and wants no further requests
 * @param limitPerSecond the number of requests per second that the upstream accepts from all nodes
 *     together; empty if it names no limit
 * @param coldMillis for how long the upstream stays cold, in milliseconds; empty if it does not say
 * @param coldDefect why a value for {@code coldMillis} is not used; empty if there is none or it is
 *     valid
 * @param load the load of the upstream; empty if the response reports none that is valid
 * @param loadInvalid whether the response reports a load that cannot be read
 */
public record UpstreamNotice(
    boolean leaving,
    OptionalDouble limitPerSecond,
    OptionalLong coldMillis,
    Optional<String> coldDefect,
    Optional<UpstreamLoad> load,
    boolean loadInvalid) {
  /** The notice of an upstream that neither leaves nor names a limit. */
  public static final UpstreamNotice NONE = new UpstreamNotice(false, OptionalDouble.empty());

  /** Validates the components. */
  public UpstreamNotice {
    checkNotNull(limitPerSecond, "limitPerSecond");
    checkNotNull(load, "load");
    checkArgument(load.isEmpty() || !loadInvalid, "load is present, but loadInvalid is set");
    limitPerSecond.ifPresent(
        limit ->
            checkArgument(
                limit >= 0 && Double.isFinite(limit),
                "limitPerSecond is %s, expected a finite number >= 0",
                limit));
    checkNotNull(coldMillis, "coldMillis");
    coldMillis.ifPresent(
        millis -> checkArgument(millis >= 0, "coldMillis is %s, expected >= 0", millis));
    checkNotNull(coldDefect, "coldDefect");
  }

  /** Creates a notice that says neither whether the upstream is cold nor what its load is. */
  public UpstreamNotice(boolean leaving, OptionalDouble limitPerSecond) {
    this(leaving, limitPerSecond, OptionalLong.empty(), Optional.empty(), Optional.empty(), false);
  }
}
