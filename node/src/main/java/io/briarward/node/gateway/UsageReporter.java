package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.usage.WindowCounts;
import io.briarward.node.platform.TableService;
import io.briarward.node.platform.UsageReports;
import io.briarward.node.telemetry.EventLog;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Stores the usage counts of this process and, under a lease, reports the sums of all processes.
 *
 * <p>The figures of a window are frozen in the store before they are reported, so that successive
 * lease holders report the same figures. Confined to the event loop.
 */
final class UsageReporter {
  private static final long TAKEOVER_WINDOWS = 3; // Older windows are already overdue.
  private static final long RETAINED_WINDOWS = 12;

  /** The time after a window ends in which processes store its last counts, in milliseconds. */
  private static final long SETTLE_MILLIS = 3_000;

  /**
   * The delay before a failed report is retried, in milliseconds; a tenth of a report's time limit.
   */
  private static final long RETRY_DELAY_MILLIS = 500;

  private final UsageStore store;
  private final UsageReports reports;
  private final Scheduler scheduler;
  private final EventLog log;
  private final String nodeName;
  private final String incarnation;
  private final SendPermission permission;
  private final WindowCounts counts;
  private boolean reportInFlight;
  private long nextWindow;
  private long nextReportMillis = Long.MIN_VALUE;

  UsageReporter(
      TableService tables,
      UsageReports reports,
      Scheduler scheduler,
      EventLog log,
      ControlDuty.Settings settings,
      SendPermission permission) {
    this.store = new UsageStore(tables);
    this.reports = checkNotNull(reports, "reports");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.nodeName = settings.nodeName();
    this.incarnation = settings.incarnation();
    this.permission = checkNotNull(permission, "permission");
    this.counts = WindowCounts.create(settings.usageWindowMillis());
  }

  /** Returns the meter that counts the requests that start to run. */
  RunMeter runs() {
    return counts::add;
  }

  /** Returns the number of reports in flight. */
  int pending() {
    return reportInFlight ? 1 : 0;
  }

  /** Restarts at the windows that the previous lease holder may not have reported. */
  void onLeaseChanged() {
    nextWindow = counts.window(wallMillis()) - TAKEOVER_WINDOWS;
  }

  /** Stores the counts that have changed since the last call. */
  void storeCounts() {
    for (long window : counts.takeChanged()) {
      var unused =
          permission
              .withTimeout(store.putCounts(window, incarnation, counts.counts(window)))
              .subscribe(
                  result -> {},
                  error -> {
                    log.info("usage-write-failed", "window", window, "cause", error.toString());
                    counts.markChanged(window);
                  });
    }
    counts.forgetBefore(counts.window(wallMillis()) - RETAINED_WINDOWS);
  }

  /** Reports the next window once its processes have had time to store their counts. */
  void step() {
    if (reportInFlight
        || nowMillis() < nextReportMillis
        || wallMillis() < counts.endMillis(nextWindow) + SETTLE_MILLIS) {
      return;
    }
    reportInFlight = true;
    long window = nextWindow;
    var unused =
        permission
            .withTimeout(store.freeze(window))
            .flatMap(figures -> send(window, figures))
            .doFinally(() -> reportInFlight = false)
            .subscribe(
                sent -> {
                  nextWindow = window + 1;
                  removeWindow(window - RETAINED_WINDOWS);
                },
                error -> {
                  nextReportMillis = nowMillis() + RETRY_DELAY_MILLIS;
                  log.warn("usage-not-reported", "window", window, "cause", error.toString());
                });
  }

  private Single<Long> send(long window, ImmutableMap<String, Long> figures) {
    Optional<LeaseGuard> guard = permission.guard();
    if (guard.isEmpty()) {
      return Single.error(
          new IllegalStateException("lease expired before the usage report was sent"));
    }
    long fencingNumber = guard.get().fencingNumber();
    log.info(
        "usage-sent",
        "window",
        window,
        "organisations",
        figures.size(),
        "requests",
        figures.values().stream().mapToLong(Long::longValue).sum(),
        "fencingNumber",
        fencingNumber);
    return permission.withTimeout(
        reports.report(window, figures, nodeName, fencingNumber).toSingleDefault(window));
  }

  private void removeWindow(long window) {
    var unused =
        permission
            .withTimeout(store.remove(window))
            .subscribe(
                result -> {},
                error -> log.info("usage-kept", "window", window, "cause", error.toString()));
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  private static long wallMillis() {
    return System.currentTimeMillis();
  }
}
