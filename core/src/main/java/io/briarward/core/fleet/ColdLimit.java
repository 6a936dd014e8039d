package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How the bound of a cold upstream is divided: a rate of all nodes together, and the number of
 * nodes that send.
 *
 * <p>Answers to many nodes that each have a request to send at the same moment. Each sender may
 * send one request at once beyond its rate, so the bound of a sliding second must cover one request
 * of each sender beside the rate of all.
 *
 * @param perSecond the rate of all senders together
 * @param maxSenders the maximum number of senders; 0 if the bound allows no request
 */
public record ColdLimit(double perSecond, int maxSenders) {
  /**
   * How much more than a second of requests may arrive within a second, since links and new
   * connections delay them differently.
   */
  private static final double DELIVERY_SPREAD_SECONDS = 0.15;

  /** A status request and an order to load weights, which only the holder of a lease sends. */
  private static final int CONTROL_REQUESTS = 2;

  private static final int MAX_SENDERS = 1_000;

  /** Checks the fields. */
  public ColdLimit {
    checkArgument(
        perSecond >= 0 && Double.isFinite(perSecond),
        "perSecond is %s, expected a finite number >= 0",
        perSecond);
    checkArgument(maxSenders >= 0, "maxSenders is %s, expected >= 0", maxSenders);
  }

  /** Returns the limit of a cold upstream of a service that tolerates a rate while cold. */
  static ColdLimit of(FleetService service, FleetService.Warmup warmup, FleetBounds bounds) {
    double bound =
        bounds.coldRequestsPerSecond(warmup.requestsPerSecond())
            - (service.models().isEmpty() ? 0 : CONTROL_REQUESTS);
    if (bound < 1) {
      return new ColdLimit(0, 0);
    }
    double perSecond =
        Math.min(warmup.requestsPerSecond(), (bound - 1) / (1 + DELIVERY_SPREAD_SECONDS));
    double left = bound - perSecond * (1 + DELIVERY_SPREAD_SECONDS);
    return new ColdLimit(perSecond, (int) Math.max(1, Math.min(MAX_SENDERS, left)));
  }
}
