package io.briarward.core.routing;

/**
 * Whether an upstream is used, judged by the outcomes of requests and probes.
 *
 * <p>After {@value #FAILURES_BEFORE_EJECTION} failures in a row the upstream is ejected, for a time
 * that doubles with each ejection. It then gets one request at a time until one succeeds. Not
 * thread-safe.
 */
final class Health {
  static final int FAILURES_BEFORE_EJECTION = 3;
  static final long MIN_EJECTION_MILLIS = 1_000;
  static final long MAX_EJECTION_MILLIS = 30_000;

  private enum State {
    HEALTHY,
    EJECTED,
    PROBING
  }

  private State state = State.HEALTHY;
  private int failures;
  private long ejectionMillis = MIN_EJECTION_MILLIS;
  private long readmitAtMillis;

  /** Records a failure and returns whether the upstream was ejected by it. */
  boolean onFailure(boolean mayEject, long nowMillis) {
    failures++;
    boolean fails = state == State.HEALTHY && failures >= FAILURES_BEFORE_EJECTION;
    boolean ejects = mayEject && (fails || state == State.PROBING);
    if (ejects) {
      state = State.EJECTED;
      readmitAtMillis = nowMillis + ejectionMillis;
      ejectionMillis = Math.min(2 * ejectionMillis, MAX_EJECTION_MILLIS);
    }
    return ejects;
  }

  /** Records a success, which also ends probing. */
  void onSuccess() {
    failures = 0;
    if (state == State.PROBING) {
      state = State.HEALTHY;
      ejectionMillis = MIN_EJECTION_MILLIS;
    }
  }

  /** Starts probing when the ejection has lasted long enough. */
  void readmit(long nowMillis) {
    if (state == State.EJECTED && nowMillis >= readmitAtMillis) {
      state = State.PROBING;
    }
  }

  /** Returns whether a request may be sent, given the number of own requests in flight. */
  boolean accepts(int ownInFlight) {
    return state == State.HEALTHY || (state == State.PROBING && ownInFlight == 0);
  }

  boolean ejected() {
    return state == State.EJECTED;
  }

  long readmitAtMillis() {
    return readmitAtMillis;
  }
}
