package io.briarward.standins.http;

import com.google.common.base.CaseFormat;
import java.util.Arrays;
import java.util.Optional;

/** The faults that can be injected; each stand-in supports a subset. */
public enum Fault {
  /** Rejects every operation with status 503 before it takes effect. */
  OUTAGE,
  /** Never responds and does not run the operation. */
  HANG,
  /**
   * Closes every connection, drops the state that a crashed process loses, and closes new
   * connections for the value in milliseconds.
   */
  CRASH_MILLIS,
  /** Delays every operation by the value in milliseconds. */
  DELAY_MILLIS,
  /** Closes the connection before the operation takes effect, for a share of operations. */
  REQUEST_LOST_SHARE,
  /** Closes the connection after the operation has taken effect, for a share of operations. */
  ANSWER_LOST_SHARE,
  /** Overrides the rate limit, in operations per second. */
  RATE_LIMIT_PER_SECOND,
  /** Overrides the lag of reports, in milliseconds. */
  LAG_MILLIS,
  /** Sends a malformed response, for a share of requests. */
  GARBAGE_SHARE,
  /** Closes the connection before the response is complete, for a share of requests. */
  TRUNCATED_SHARE,
  /** Multiplies the duration of work by the value. */
  SLOWDOWN,
  /** Makes weight loads fail, so that the current version stays in use. */
  WEIGHT_LOAD_FAILURE,
  /** Drops a share of cache events. */
  CACHE_EVENT_GAP_SHARE,
  /** Says in every response that the upstream leaves. */
  LEAVING,
  /** Accepts orders with a stale fencing number. */
  IGNORE_FENCING,
  /** Rejects start orders with the error no-capacity, in one data centre or in all. */
  NO_CAPACITY,
  /**
   * Reclaims the reclaimable upstreams, in one data centre or in all, after the value in
   * milliseconds.
   */
  RECLAIM_NOTICE_MILLIS;

  /** Returns the name used in {@code POST /control/faults}, such as {@code delayMillis}. */
  public String label() {
    return CaseFormat.UPPER_UNDERSCORE.to(CaseFormat.LOWER_CAMEL, name());
  }

  /** Returns the fault with the given label, or empty if there is none. */
  public static Optional<Fault> byLabel(String label) {
    return Arrays.stream(values()).filter(fault -> fault.label().equals(label)).findFirst();
  }
}
