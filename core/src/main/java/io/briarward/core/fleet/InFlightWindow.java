package io.briarward.core.fleet;

/**
 * The bound on this node's requests in flight at one upstream.
 *
 * <p>It answers overload that many nodes cause together, none of which sees more than a part of it:
 * each node starts with one request, adds one with each good response until the first sign of
 * overload and one per round trip from then on, and halves the bound when the upstream rejects a
 * request or leaves one without response. A single slow response and a slowness that the upstream
 * reports are not signs of overload. An upstream that is idle as far as this node knows always
 * accepts a request. Not thread-safe.
 */
final class InFlightWindow {
  private static final double MIN_SIZE = 1;
  private static final double DECREASE_FACTOR = 0.5;

  /** The factor per response while the upstream responds late or has many waiting requests. */
  private static final double CONGESTED_FACTOR = 0.9;

  /** The multiple of the usual duration from which an upstream is congested. */
  private static final double CONGESTED_DURATION_FACTOR = 3;

  /** The weight of the newest duration in the moving average. */
  private static final double DURATION_WEIGHT = 0.2;

  /** The decay of the recent number of requests in flight per response. */
  private static final double RECENT_DECAY = 0.95;

  /** The growth of the best duration per response, so that a lasting change becomes usual. */
  private static final double BEST_DRIFT = 1.005;

  /** The size relative to the slots of the upstream; twice as many keep them all used. */
  private static final int MAX_SIZE_PER_SLOT = 2;

  /** The shortest and longest time in which rejections count as one sign, in milliseconds. */
  private static final double MIN_SIGN_MILLIS = 10;

  private static final double MAX_SIGN_MILLIS = 200;

  /** The longest pause after a rejection, in milliseconds. */
  private static final double MAX_REJECTION_PAUSE_MILLIS = 100;

  /** The pause after the first probe without response; it doubles with each further one. */
  private static final long FIRST_PROBE_PAUSE_MILLIS = 100;

  private static final long MAX_PROBE_PAUSE_MILLIS = 1_000;

  private double size = MIN_SIZE;
  private double slowStartLimit = Double.POSITIVE_INFINITY;
  private long decreasedAtMillis = Long.MIN_VALUE / 2;
  private long rejectedUntilMillis = Long.MIN_VALUE;
  private double recentInFlight;
  private double recentMillis;
  private double bestMillis;
  private boolean silent;
  private boolean probeInFlight;
  private int silentProbes;
  private int sentBeforeSilence;
  private long nextProbeAtMillis;
  private int rejectionsInRow;

  /** Returns the present bound, at least 1. */
  double size() {
    return size;
  }

  /** Returns whether a request ended without response and none was answered since. */
  boolean isSilent() {
    return silent;
  }

  /** Returns the number of probes in a row that ended without response. */
  int silentProbes() {
    return silentProbes;
  }

  /** Returns whether the window has the full size for the given number of slots. */
  boolean isFull(int slots) {
    return size >= slots;
  }

  /**
   * Returns whether a further request may be sent.
   *
   * @param inFlight the number of this node's requests in flight
   * @param ignoringProbePause whether a probe may be sent before the pause after the last one ended
   */
  boolean permits(int inFlight, boolean ignoringProbePause, long nowMillis) {
    if (silent) {
      return !probeInFlight && (ignoringProbePause || nowMillis >= nextProbeAtMillis);
    }
    return inFlight + 1 <= size && nowMillis >= rejectedUntilMillis;
  }

  /**
   * Handles a request that was sent.
   *
   * @param inFlight the number of this node's requests in flight, including this one
   */
  void onSent(int inFlight) {
    recentInFlight = Math.max(recentInFlight, inFlight);
    probeInFlight = silent;
  }

  /**
   * Handles a request that the upstream accepted, without a duration that can be compared.
   *
   * @param inFlight the number of this node's requests in flight, including this one
   * @param waiting the number of waiting requests that the upstream reported
   */
  void onAccepted(int inFlight, int waiting, int slots) {
    onHeard();
    adapt(false, inFlight, waiting, slots);
  }

  /**
   * Handles a response.
   *
   * @param durationMillis the duration without the reported slowness
   * @param usualMillis the usual duration of the service
   */
  void onAnswered(double durationMillis, double usualMillis, int inFlight, int waiting, int slots) {
    onHeard();
    recentMillis =
        recentMillis == 0
            ? durationMillis
            : recentMillis * (1 - DURATION_WEIGHT) + durationMillis * DURATION_WEIGHT;
    bestMillis =
        bestMillis == 0 ? recentMillis : Math.min(recentMillis, bestMillis * BEST_DRIFT + 0.01);
    boolean late =
        recentMillis > CONGESTED_DURATION_FACTOR * Math.max(1, bestMillis)
            || recentMillis > CONGESTED_DURATION_FACTOR * Math.max(1, usualMillis);
    adapt(late, inFlight, waiting, slots);
  }

  /** Handles a response after which the window neither grows nor shrinks. */
  void onHeard() {
    silent = false;
    probeInFlight = false;
    silentProbes = 0;
  }

  private void adapt(boolean late, int inFlight, int waiting, int slots) {
    rejectionsInRow = 0;
    recentInFlight = Math.max(inFlight, recentInFlight * RECENT_DECAY);
    if (late || waiting >= slots) {
      size = Math.max(MIN_SIZE, size * CONGESTED_FACTOR);
      slowStartLimit = size;
    } else if (waiting == 0 && 2 * recentInFlight >= size) {
      size = Math.min(MAX_SIZE_PER_SLOT * slots, size + (size < slowStartLimit ? 1 : 1 / size));
    }
  }

  /**
   * Handles a rejection.
   *
   * <p>An upstream that rejects has no free slot. The next request is sent when those that wait
   * there are expected to have started, and after consecutive rejections later, since other nodes
   * compete for the slots.
   *
   * @param inFlight the number of this node's requests in flight, including this one
   * @param waiting the number of waiting requests that the upstream reported
   * @param usualMillis the usual duration of the service
   */
  void onRejected(int inFlight, int waiting, double usualMillis, int slots, long nowMillis) {
    onHeard();
    double signMillis = Math.min(MAX_SIGN_MILLIS, Math.max(MIN_SIGN_MILLIS, usualMillis));
    if (nowMillis - decreasedAtMillis >= signMillis) {
      decrease(inFlight);
      decreasedAtMillis = nowMillis;
    }
    double pauseMillis =
        Math.min(
            MAX_REJECTION_PAUSE_MILLIS,
            Math.max(1, usualMillis * (waiting + 1) / slots)
                * (1 << Math.min(rejectionsInRow, 10)));
    rejectionsInRow++;
    rejectedUntilMillis = nowMillis + Math.round(pauseMillis);
  }

  /**
   * Handles a request that ended without response.
   *
   * @param inFlight the number of this node's requests in flight, including this one
   */
  void onSilent(int inFlight, long nowMillis) {
    decrease(inFlight);
    if (!silent) {
      silent = true;
      probeInFlight = false;
      sentBeforeSilence = inFlight - 1;
      nextProbeAtMillis = nowMillis;
    } else if (!endedBeforeSilence()) {
      probeInFlight = false;
      size = MIN_SIZE;
      nextProbeAtMillis =
          nowMillis
              + Math.min(
                  MAX_PROBE_PAUSE_MILLIS, FIRST_PROBE_PAUSE_MILLIS << Math.min(silentProbes, 10));
      silentProbes++;
    }
  }

  /** Handles a request that ended for a reason unrelated to the upstream. */
  void onReleased() {
    if (silent && !endedBeforeSilence()) {
      probeInFlight = false;
    }
  }

  /**
   * Returns whether an end is taken for that of a request sent before the silence began, which does
   * not make room for a further probe.
   */
  private boolean endedBeforeSilence() {
    if (sentBeforeSilence == 0) {
      return false;
    }
    sentBeforeSilence--;
    return true;
  }

  private void decrease(int inFlight) {
    size = Math.max(MIN_SIZE, Math.min(size, inFlight) * DECREASE_FACTOR);
    slowStartLimit = size;
  }
}
