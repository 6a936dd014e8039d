package io.briarward.core.usage;

import io.briarward.core.platform.RowKey;

/** The tables that hold usage, and the addresses of their rows. */
public final class UsageTables {
  /** Counters: one row for each window and incarnation that counted something in it. */
  public static final String USAGE = "usage";

  /** One row for each incarnation, written before it serves. */
  public static final String INCARNATIONS = "usage-incarnations";

  /** Frozen windows, written once each. */
  public static final String FROZEN = "usage-frozen";

  /** Marks of usage that showed up after its window was frozen. */
  public static final String LATE = "usage-late";

  /** One row that names the last frozen and the last reported window. */
  public static final String HEAD = "usage-head";

  private static final RowKey HEAD_ROW = RowKey.of(HEAD, "head");

  private static final RowKey REGISTRATIONS_ROW = RowKey.of(HEAD, "registrations");

  private UsageTables() {}

  /** Returns the row of an incarnation's counters in a window. */
  public static RowKey usage(long windowStartMillis, String incarnation) {
    return RowKey.of(USAGE, prefix(windowStartMillis) + incarnation);
  }

  /** Returns the row of an incarnation. */
  public static RowKey incarnation(String incarnation) {
    return RowKey.of(INCARNATIONS, incarnation);
  }

  /** Returns the row of a frozen window. */
  public static RowKey frozen(long windowStartMillis) {
    return RowKey.of(FROZEN, Long.toString(windowStartMillis));
  }

  /** Returns the row that marks an incarnation's late usage of a window. */
  public static RowKey late(long windowStartMillis, String incarnation) {
    return RowKey.of(LATE, prefix(windowStartMillis) + incarnation);
  }

  /** Returns the row that names the last frozen and the last reported window. */
  public static RowKey head() {
    return HEAD_ROW;
  }

  /** Returns the row that is written with each registration of an incarnation. */
  public static RowKey registrations() {
    return REGISTRATIONS_ROW;
  }

  /** Returns what the keys of a window's rows start with. */
  public static String prefix(long windowStartMillis) {
    return windowStartMillis + "/";
  }

  /** Returns the counter that a row of {@link #USAGE} or {@link #LATE} belongs to. */
  static OpenUsage parse(String key) {
    int slash = key.indexOf('/');
    return new OpenUsage(Long.parseLong(key.substring(0, slash)), key.substring(slash + 1));
  }
}
