package io.briarward.standins.http;

import com.google.common.base.CaseFormat;
import java.util.Arrays;
import java.util.Optional;

/** The closed list of faults; each stand-in supports some of them. */
public enum Fault {
  /** Refuses every operation with 503 before it takes effect. */
  OUTAGE,
  /** Never answers, and does not run the operation. */
  HANG,
  /** Closes every connection, loses what is in memory and stays down for this long. */
  CRASH_MILLIS,
  /** Delays each operation by the value, in milliseconds. */
  DELAY_MILLIS,
  /** Closes the connection before the operation takes effect, for this share of operations. */
  REQUEST_LOST_SHARE,
  /** Closes the connection after the operation took effect, for this share of operations. */
  ANSWER_LOST_SHARE,
  /** Replaces the limit on operations per second. */
  RATE_LIMIT_PER_SECOND,
  /** Replaces the lag of reports, in milliseconds. */
  LAG_MILLIS,
  /** Answers with bytes that are no valid answer, for this share of requests. */
  GARBAGE_SHARE,
  /** Breaks off the answer in the middle, for this share of requests. */
  TRUNCATED_SHARE,
  /** Multiplies the time that work takes. */
  SLOWDOWN,
  /** Lets weight loads fail, so that the old version stays. */
  WEIGHT_LOAD_FAILURE,
  /** Drops this share of cache events. */
  CACHE_EVENT_GAP_SHARE,
  /** Accepts orders with an old fencing number. */
  IGNORE_FENCING,
  /** Answers start orders with no-capacity, in one data centre or in all. */
  NO_CAPACITY,
  /** Reclaims every reclaimable upstream of a data centre after the value, in milliseconds. */
  RECLAIM_NOTICE_MILLIS;

  /** Returns the name used in {@code POST /control/faults}, such as {@code delayMillis}. */
  public String label() {
    return CaseFormat.UPPER_UNDERSCORE.to(CaseFormat.LOWER_CAMEL, name());
  }

  /** Returns the fault with the given label. */
  public static Optional<Fault> byLabel(String label) {
    return Arrays.stream(values()).filter(fault -> fault.label().equals(label)).findFirst();
  }
}
