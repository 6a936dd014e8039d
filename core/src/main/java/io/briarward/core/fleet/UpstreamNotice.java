package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What a response says about the upstream that sent it.
 *
 * @param leaving whether the upstream leaves and wants no further requests
 * @param limitPerSecond the number of requests per second that the upstream accepts from all nodes
 *     together; empty if it names no limit
 * @param load the load of the upstream; empty if the response reports none that is valid
 * @param loadInvalid whether the response reports a load that cannot be read
 */
public record UpstreamNotice(
    boolean leaving,
    OptionalDouble limitPerSecond,
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
  }

  /** Creates the notice of an upstream that reports no load. */
  public UpstreamNotice(boolean leaving, OptionalDouble limitPerSecond) {
    this(leaving, limitPerSecond, Optional.empty(), false);
  }
}
