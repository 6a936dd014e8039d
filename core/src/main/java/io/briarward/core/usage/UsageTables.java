package io.briarward.core.usage;

import io.briarward.core.platform.RowKey;

/** The tables that hold usage, and the keys of their rows. */
public final class UsageTables {
  /** Cumulative counters: one row for each window and incarnation with usage in it. */
  public static final String USAGE = "usage";

  /** One row for each incarnation, written before the incarnation serves requests. */
  public static final String INCARNATIONS = "usage-incarnations";

  /** Frozen windows, one row each, written once. */
  public static final String FROZEN = "usage-frozen";

  /** Markers of counters that were written after their window was frozen. */
  public static final String LATE = "usage-late";

  /** Two rows: {@link #head} and {@link #registrations}. */
  public static final String HEAD = "usage-head";

  private static final RowKey HEAD_ROW = RowKey.of(HEAD, "head");

  private static final RowKey REGISTRATIONS_ROW = RowKey.of(HEAD, "registrations");

  private UsageTables() {}

  /** Returns the key of the row of an incarnation's counters in a window. */
  public static RowKey usage(long windowStartMillis, String incarnation) {
    return RowKey.of(USAGE, prefix(windowStartMillis) + incarnation);
  }

  /** Returns the key of the row of an incarnation. */
  public static RowKey incarnation(String incarnation) {
    return RowKey.of(INCARNATIONS, incarnation);
  }

  /** Returns the key of the row of a frozen window. */
  public static RowKey frozen(long windowStartMillis) {
    return RowKey.of(FROZEN, Long.toString(windowStartMillis));
  }

  /** Returns the key of the row that marks an incarnation's late usage in a window. */
  public static RowKey late(long windowStartMillis, String incarnation) {
    return RowKey.of(LATE, prefix(windowStartMillis) + incarnation);
  }

  /** Returns the key of the row that names the last frozen and the last reported window. */
  public static RowKey head() {
    return HEAD_ROW;
  }

  /** Returns the key of the row that every registration of an incarnation writes. */
  public static RowKey registrations() {
    return REGISTRATIONS_ROW;
  }

  /** Returns the key prefix of a window's rows. */
  public static String prefix(long windowStartMillis) {
    return windowStartMillis + "/";
  }

  /** Parses the key of a row of {@link #USAGE} or {@link #LATE}. */
  static IncarnationWindow parse(String key) {
    int slash = key.indexOf('/');
    return new IncarnationWindow(Long.parseLong(key.substring(0, slash)), key.substring(slash + 1));
  }
}
