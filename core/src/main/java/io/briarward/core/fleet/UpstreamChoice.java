package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses among the upstreams that accept a request.
 *
 * <p>Paced upstreams are compared by the predicted completion of the request, all others by the
 * expected wait. Among equal paced upstreams the choice is random, so that nodes which know equally
 * little do not choose the same one. Not thread-safe.
 */
final class UpstreamChoice {
  /** The factor on the expected wait of an upstream in another data centre. */
  private static final double REMOTE_FACTOR = 1.15;

  /** The assumed request duration of an upstream that has not answered yet. */
  private static final double UNKNOWN_DURATION_MILLIS = 20;

  private final String localDataCentre;
  private final LoadView view;
  private final UpstreamPacing pacing;
  private final RandomGenerator random;

  UpstreamChoice(
      String localDataCentre, LoadView view, UpstreamPacing pacing, RandomGenerator random) {
    this.localDataCentre = checkNotNull(localDataCentre, "localDataCentre");
    this.view = checkNotNull(view, "view");
    this.pacing = checkNotNull(pacing, "pacing");
    this.random = checkNotNull(random, "random");
  }

  /**
   * Returns the best of the given upstreams, empty if there are none.
   *
   * @param candidates the upstreams that accept a request
   * @param service all upstreams of the service that are not draining
   */
  Optional<UpstreamEntry> choose(
      ImmutableList<UpstreamEntry> candidates,
      ImmutableList<UpstreamEntry> service,
      long nowMillis) {
    if (candidates.stream().noneMatch(pacing::inForce)) {
      return candidates.stream().min(Comparator.comparingDouble(this::expectedWaitMillis));
    }
    LoadView.Means means = view.means(service, nowMillis);
    Optional<UpstreamEntry> best = Optional.empty();
    double bestMillis = Double.POSITIVE_INFINITY;
    int equals = 0;
    for (UpstreamEntry candidate : pacing.compared(candidates, nowMillis)) {
      double millis =
          pacing.inForce(candidate)
              ? pacing.completionMillis(candidate, means, nowMillis) * distanceFactor(candidate)
              : expectedWaitMillis(candidate);
      equals = millis == bestMillis ? equals + 1 : 1;
      if (millis < bestMillis || (millis == bestMillis && random.nextInt(equals) == 0)) {
        best = Optional.of(candidate);
        bestMillis = millis;
      }
    }
    return best;
  }

  private double expectedWaitMillis(UpstreamEntry entry) {
    double averageMillis = view.averageMillis(entry.id());
    double durationMillis = averageMillis == 0 ? UNKNOWN_DURATION_MILLIS : averageMillis;
    int inFlight = view.inFlight(entry.id());
    return (1 + (double) inFlight / entry.slots()) * durationMillis * distanceFactor(entry);
  }

  private double distanceFactor(UpstreamEntry entry) {
    return entry.dataCentre().equals(localDataCentre) ? 1 : REMOTE_FACTOR;
  }
}
