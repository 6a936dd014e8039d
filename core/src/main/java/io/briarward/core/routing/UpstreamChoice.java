package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.configuration.Upstream;

/**
 * An upstream chosen for a request, with capacity reserved there.
 *
 * <p>Every choice must be released exactly once through {@link Router#onFinished}, {@link
 * Router#onFailed} or {@link Router#onReleased}; further calls for the same choice have no effect.
 *
 * @param ticket identifies the reservation within its router
 * @param service the id of the service
 * @param upstream the upstream to send the request to
 * @param reuseExpected whether the upstream is expected to have the prompt's prefix cached
 */
public record UpstreamChoice(
    long ticket, String service, Upstream upstream, boolean reuseExpected) {
  /** Checks the fields. */
  public UpstreamChoice {
    checkNotNull(service, "service");
    checkNotNull(upstream, "upstream");
  }
}
