package io.briarward.node.telemetry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * A log of structured events, one line each, limited by a token bucket.
 *
 * <p>A line has the form {@code event=NAME key=value ...}. Events above the rate are dropped; the
 * number of dropped lines is logged before the next line that the rate permits. A value is
 * shortened to {@value #MAX_VALUE_CHARS} characters, and its control characters are replaced.
 * Confined to one event loop.
 */
public final class EventLog {
  /** The capacity of the bucket: the lines that a busy node usually writes in a second. */
  private static final int MAX_BURST_LINES = 400;

  /** The sustained rate, about 20 KB per second. */
  private static final int LINES_PER_SECOND = 200;

  /** Other writers choose some of the values. */
  private static final int MAX_VALUE_CHARS = 2_000;

  /** The length of most lines. */
  private static final int INITIAL_LINE_CHARS = 400;

  private final Scheduler scheduler;
  private double tokens = MAX_BURST_LINES;
  private long refilledAtMillis;
  private long droppedLines;

  private EventLog(Scheduler scheduler) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.refilledAtMillis = scheduler.now(TimeUnit.MILLISECONDS);
  }

  /** Returns a log that measures its rate by the scheduler's clock. */
  public static EventLog create(Scheduler scheduler) {
    return new EventLog(scheduler);
  }

  /**
   * Logs an event at level info, unless the rate is exceeded.
   *
   * @param event the name of the event
   * @param fields alternating names and values
   */
  public void info(String event, Object... fields) {
    if (tryAcquire()) {
      Logger.info(format(event, fields));
    }
  }

  /** Logs an event at level warn, like {@link #info}. */
  public void warn(String event, Object... fields) {
    if (tryAcquire()) {
      Logger.warn(format(event, fields));
    }
  }

  private boolean tryAcquire() {
    long nowMillis = scheduler.now(TimeUnit.MILLISECONDS);
    double refilledTokens = (nowMillis - refilledAtMillis) * LINES_PER_SECOND / 1e3;
    tokens = Math.min(MAX_BURST_LINES, tokens + refilledTokens);
    refilledAtMillis = nowMillis;
    if (tokens < 1) {
      droppedLines++;
      return false;
    }
    tokens--;
    if (droppedLines > 0) {
      Logger.warn("event=lines-dropped count=" + droppedLines);
      droppedLines = 0;
    }
    return true;
  }

  static String format(String event, Object... fields) {
    checkArgument(fields.length % 2 == 0, "fields has %s entries, expected pairs", fields.length);
    StringBuilder line = new StringBuilder(INITIAL_LINE_CHARS).append("event=").append(event);
    for (int i = 0; i < fields.length; i += 2) {
      line.append(' ').append(fields[i]).append('=');
      appendValue(line, Ascii.truncate(String.valueOf(fields[i + 1]), MAX_VALUE_CHARS, "..."));
    }
    return line.toString();
  }

  private static void appendValue(StringBuilder line, String value) {
    boolean quoted = value.indexOf(' ') >= 0;
    if (quoted) {
      line.append('"');
    }
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (breaksLine(c)) {
        line.append('?');
      } else {
        line.append(quoted && c == '"' ? '\'' : c);
      }
    }
    if (quoted) {
      line.append('"');
    }
  }

  /**
   * Returns whether a character is a control character, or a separator that some readers take for
   * the end of a line.
   */
  private static boolean breaksLine(char c) {
    return c < ' ' || (c >= 0x7f && c <= 0x9f) || c == '\u2028' || c == '\u2029';
  }
}
