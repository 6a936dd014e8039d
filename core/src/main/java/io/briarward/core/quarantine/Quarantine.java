package io.briarward.core.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableSet;
import com.google.common.math.LongMath;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which requests are no longer sent, since upstreams ended while they ran them.
 *
 * <p>A connection that breaks before the response is complete is counted as the end of the
 * upstream; whether the upstream really ended is not known in time. So a request may be suspected
 * wrongly, for example if all upstreams are lost while they run a frequent request. A complete
 * response clears it, and a quarantined request may be tried again a few times, at growing
 * intervals. Not thread-safe.
 */
public final class Quarantine {
  /** The number of upstreams that a request may end before it is quarantined. */
  public static final int MAX_CRASHES = 3;

  /** The number of times that a quarantined request may be tried again. */
  public static final int MAX_TRIALS = 3;

  /** How long a crash counts, in milliseconds; afterwards upstreams may have been corrected. */
  public static final long RETENTION_MILLIS = 600_000;

  /** The time from the last crash to the first trial, in milliseconds; longer than a restart. */
  public static final long FIRST_TRIAL_DELAY_MILLIS = 30_000;

  /** The factor between the delays of consecutive trials. */
  private static final int TRIAL_DELAY_FACTOR = 3;

  /** The number of fingerprints kept; the one with the oldest first crash is forgotten first. */
  private static final int MAX_FINGERPRINTS = 10_000;

  private final Map<RequestFingerprint, Suspect> suspects = new LinkedHashMap<>();

  private static final class Suspect {
    final Map<String, Long> crashMillisByUpstream = new HashMap<>();
    long lastTrialMillis = Long.MIN_VALUE;

    int count(long nowMillis) {
      return (int)
          crashMillisByUpstream.values().stream()
              .filter(atMillis -> !isExpired(atMillis, nowMillis))
              .count();
    }

    long lastMillis() {
      return crashMillisByUpstream.values().stream()
          .reduce(lastTrialMillis, (first, second) -> Math.max(first, second));
    }
  }

  private Quarantine() {}

  /** Creates a quarantine without requests. */
  public static Quarantine create() {
    return new Quarantine();
  }

  /**
   * A crash that was recorded.
   *
   * @param upstream the instance that ended
   */
  public record Crash(RequestFingerprint fingerprint, String upstream) {
    /** Validates the components. */
    public Crash {
      checkNotNull(fingerprint, "fingerprint");
      checkNotNull(upstream, "upstream");
    }
  }

  /**
   * Records a crash; a crash of the same instance under the same request counts once.
   *
   * @param atMillis when it happened
   * @return whether it was not recorded before
   */
  public boolean add(Crash crash, long atMillis) {
    Suspect suspect = suspects.computeIfAbsent(crash.fingerprint(), unused -> new Suspect());
    boolean added = suspect.crashMillisByUpstream.putIfAbsent(crash.upstream(), atMillis) == null;
    if (suspects.size() > MAX_FINGERPRINTS) {
      Iterator<RequestFingerprint> oldest = suspects.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    return added;
  }

  /** Forgets a crash. */
  public void remove(Crash crash) {
    Suspect suspect = suspects.get(crash.fingerprint());
    if (suspect != null) {
      suspect.crashMillisByUpstream.remove(crash.upstream());
      if (suspect.crashMillisByUpstream.isEmpty()) {
        suspects.remove(crash.fingerprint());
      }
    }
  }

  /** Forgets all crashes. */
  public void clear() {
    suspects.clear();
  }

  /** Returns whether no crash is recorded. */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Returns whether the next unknown request displaces another. */
  public boolean isFull() {
    return suspects.size() >= MAX_FINGERPRINTS;
  }

  /** Returns the recorded crashes under a request. */
  public ImmutableSet<Crash> crashes(RequestFingerprint fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    return suspect == null
        ? ImmutableSet.of()
        : suspect.crashMillisByUpstream.keySet().stream()
            .map(upstream -> new Crash(fingerprint, upstream))
            .collect(toImmutableSet());
  }

  /** Returns whether a request is quarantined. */
  public boolean contains(RequestFingerprint fingerprint, long nowMillis) {
    Suspect suspect = suspects.get(fingerprint);
    return suspect != null && suspect.count(nowMillis) >= MAX_CRASHES;
  }

  /** Returns whether a quarantined request may be sent to one upstream, to see if it still ends. */
  public boolean isTrialDue(RequestFingerprint fingerprint, long nowMillis) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect == null) {
      return false;
    }
    int trials = suspect.count(nowMillis) - MAX_CRASHES;
    return trials >= 0
        && trials < MAX_TRIALS
        && nowMillis - suspect.lastMillis()
            >= FIRST_TRIAL_DELAY_MILLIS * LongMath.pow(TRIAL_DELAY_FACTOR, trials);
  }

  /** Handles the start of a trial, which delays the next one even if its end is not known. */
  public void onTrial(RequestFingerprint fingerprint, long nowMillis) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect != null) {
      suspect.lastTrialMillis = nowMillis;
    }
  }

  /** Returns the crashes that count no longer. */
  public ImmutableSet<Crash> expired(long nowMillis) {
    ImmutableSet.Builder<Crash> expired = ImmutableSet.builder();
    suspects.forEach(
        (fingerprint, suspect) ->
            suspect.crashMillisByUpstream.forEach(
                (upstream, atMillis) -> {
                  if (isExpired(atMillis, nowMillis)) {
                    expired.add(new Crash(fingerprint, upstream));
                  }
                }));
    return expired.build();
  }

  private static boolean isExpired(long atMillis, long nowMillis) {
    return nowMillis - atMillis >= RETENTION_MILLIS;
  }
}
