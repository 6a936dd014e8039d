package io.briarward.core.routing;

/**
 * Tracks whether an upstream is healthy or ejected, by the outcomes of requests and probes.
 *
 * <p>After {@value #FAILURES_BEFORE_EJECTION} consecutive failures the upstream is ejected, for a
 * time that doubles with each further ejection up to {@value #MAX_EJECTION_MILLIS} ms. It is then
 * readmitted with one request at a time until a request succeeds. Not thread-safe.
 */
final class UpstreamHealth {
  static final int FAILURES_BEFORE_EJECTION = 3;
  static final long MIN_EJECTION_MILLIS = 1_000;
  static final long MAX_EJECTION_MILLIS = 30_000;

  private enum State {
    HEALTHY,
    EJECTED,
    PROBING
  }

  private State state = State.HEALTHY;
  private int consecutiveFailures;
  private long ejectionMillis = MIN_EJECTION_MILLIS;
  private long readmitAtMillis;

  /**
   * Records a failure and returns whether it ejected the upstream, which requires {@code mayEject}.
   */
  boolean onFailure(boolean mayEject, long nowMillis) {
    consecutiveFailures++;
    boolean isFailing = state == State.HEALTHY && consecutiveFailures >= FAILURES_BEFORE_EJECTION;
    boolean isEjecting = mayEject && (isFailing || state == State.PROBING);
    if (isEjecting) {
      state = State.EJECTED;
      readmitAtMillis = nowMillis + ejectionMillis;
      ejectionMillis = Math.min(2 * ejectionMillis, MAX_EJECTION_MILLIS);
    }
    return isEjecting;
  }

  /** Records a success, which marks a probed upstream as healthy. */
  void onSuccess() {
    consecutiveFailures = 0;
    if (state == State.PROBING) {
      state = State.HEALTHY;
      ejectionMillis = MIN_EJECTION_MILLIS;
    }
  }

  /** Starts probing if the ejection has expired. */
  void readmit(long nowMillis) {
    if (state == State.EJECTED && nowMillis >= readmitAtMillis) {
      state = State.PROBING;
    }
  }

  /** Returns whether a request may be sent, given the number of this node's requests in flight. */
  boolean canAccept(int ownInFlight) {
    return state == State.HEALTHY || (state == State.PROBING && ownInFlight == 0);
  }

  boolean isEjected() {
    return state == State.EJECTED;
  }

  long readmitAtMillis() {
    return readmitAtMillis;
  }
}
