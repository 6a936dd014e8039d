package io.briarward.core.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when an upstream whose requests are not paced gets requests again after a failure.
 *
 * <p>An upstream that fails is ejected for a time that doubles with each consecutive failure. An
 * upstream that rejects a request is ejected for a given time, then receives a single probe
 * request, and more requests once it accepts that one. Not thread-safe.
 */
final class UpstreamEjections {
  /** The ejection time after the first failure; about the restart time of a crashed process. */
  private static final long FIRST_EJECTION_MILLIS = 500;

  /**
   * The maximum ejection time after consecutive failures; on the order of an upstream's longest
   * outage.
   */
  private static final long MAX_EJECTION_MILLIS = 4_000;

  private final Map<String, State> states = new HashMap<>();

  private static final class State {
    int failures;
    boolean rejected;
    boolean probeInFlight;
    long ejectedUntilMillis = Long.MIN_VALUE;
  }

  /** Discards the history of an upstream. */
  void remove(String id) {
    states.remove(id);
  }

  /** Returns whether an upstream is neither ejected nor has a probe in flight. */
  boolean permits(String id, long nowMillis) {
    State state = states.get(id);
    return state == null
        || (nowMillis >= state.ejectedUntilMillis && !(state.rejected && state.probeInFlight));
  }

  /** Returns whether an upstream is currently ejected. */
  boolean isEjected(String id, long nowMillis) {
    State state = states.get(id);
    return state != null && nowMillis < state.ejectedUntilMillis;
  }

  /** Handles a request that was sent to an upstream. */
  void onSent(String id) {
    State state = state(id);
    state.probeInFlight = state.rejected;
  }

  /** Handles a request that an upstream accepted and started to run. */
  void onAccepted(String id) {
    state(id).rejected = false;
  }

  /** Handles the end of a request that the upstream answered. */
  void onCompleted(String id) {
    State state = state(id);
    state.failures = 0;
    state.rejected = false;
    state.ejectedUntilMillis = Long.MIN_VALUE;
  }

  /** Handles the end of a request for a reason unrelated to the upstream's health. */
  void onReleased(String id) {
    state(id).probeInFlight = false;
  }

  /** Handles the end of a request that the upstream rejected without running it. */
  void onRejected(String id, long nowMillis, long ejectionMillis) {
    State state = state(id);
    state.rejected = true;
    state.probeInFlight = false;
    state.ejectedUntilMillis = Math.max(state.ejectedUntilMillis, nowMillis + ejectionMillis);
  }

  /** Handles the end of a request that the upstream interrupted or did not answer. */
  void onFailed(String id, long nowMillis) {
    State state = state(id);
    long ejectionMillis =
        Math.min(MAX_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << Math.min(state.failures, 10));
    state.failures++;
    state.rejected = false;
    state.ejectedUntilMillis = nowMillis + ejectionMillis;
  }

  private State state(String id) {
    return states.computeIfAbsent(id, unused -> new State());
  }
}
