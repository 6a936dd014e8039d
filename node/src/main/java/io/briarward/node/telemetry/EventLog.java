package io.briarward.node.telemetry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Writes one structured line for each event, and drops events above a rate.
 *
 * <p>A line is {@code event=NAME key=value ...}. The number of dropped lines is written once the
 * rate allows it. Confined to one event loop.
 */
public final class EventLog {
  /** Lines in a burst; a second of a busy node at its usual rate. */
  private static final int BURST_LINES = 400;

  /** Lines a second in the long run, about 20 KB. */
  private static final int LINES_PER_SECOND = 200;

  private final Scheduler scheduler;
  private double budget = BURST_LINES;
  private long refilledAtMillis;
  private long dropped;

  private EventLog(Scheduler scheduler) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.refilledAtMillis = scheduler.now(TimeUnit.MILLISECONDS);
  }

  /** Returns a log whose rate follows the scheduler's clock. */
  public static EventLog create(Scheduler scheduler) {
    return new EventLog(scheduler);
  }

  /**
   * Writes an event.
   *
   * @param fields names and values by turns
   */
  public void info(String event, Object... fields) {
    if (allowed()) {
      Logger.info(line(event, fields));
    }
  }

  /** Writes an event that someone should look at. */
  public void warn(String event, Object... fields) {
    if (allowed()) {
      Logger.warn(line(event, fields));
    }
  }

  private boolean allowed() {
    long nowMillis = scheduler.now(TimeUnit.MILLISECONDS);
    double refill = (nowMillis - refilledAtMillis) * LINES_PER_SECOND / 1e3;
    budget = Math.min(BURST_LINES, budget + refill);
    refilledAtMillis = nowMillis;
    if (budget < 1) {
      dropped++;
      return false;
    }
    budget--;
    if (dropped > 0) {
      Logger.warn("event=lines-dropped count=" + dropped);
      dropped = 0;
    }
    return true;
  }

  private static String line(String event, Object... fields) {
    checkArgument(fields.length % 2 == 0, "fields has %s entries, expected pairs", fields.length);
    StringBuilder line = new StringBuilder("event=").append(event);
    for (int i = 0; i < fields.length; i += 2) {
      line.append(' ').append(fields[i]).append('=');
      String value = String.valueOf(fields[i + 1]);
      line.append(value.indexOf(' ') < 0 ? value : '"' + value.replace('"', '\'') + '"');
    }
    return line.toString();
  }
}
