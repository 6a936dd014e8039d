package io.briarward.core.usage;

import java.util.Comparator;

/**
 * Identifies an incarnation's counters of one window.
 *
 * @param windowStartMillis the start of the window, in milliseconds since the Unix epoch
 * @param incarnation the incarnation that counted
 */
public record OpenUsage(long windowStartMillis, String incarnation)
    implements Comparable<OpenUsage> {
  private static final Comparator<OpenUsage> ORDER =
      Comparator.comparingLong(OpenUsage::windowStartMillis).thenComparing(OpenUsage::incarnation);

  @Override
  public int compareTo(OpenUsage other) {
    return ORDER.compare(this, other);
  }
}
