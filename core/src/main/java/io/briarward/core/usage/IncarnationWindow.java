package io.briarward.core.usage;

import java.util.Comparator;

/**
 * Identifies an incarnation's counters of one window.
 *
 * @param windowStartMillis the start of the window, in milliseconds since the Unix epoch
 * @param incarnation the incarnation that counted
 */
public record IncarnationWindow(long windowStartMillis, String incarnation)
    implements Comparable<IncarnationWindow> {
  private static final Comparator<IncarnationWindow> ORDER =
      Comparator.comparingLong(IncarnationWindow::windowStartMillis)
          .thenComparing(IncarnationWindow::incarnation);

  @Override
  public int compareTo(IncarnationWindow other) {
    return ORDER.compare(this, other);
  }
}
