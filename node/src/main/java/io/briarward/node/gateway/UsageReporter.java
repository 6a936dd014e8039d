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
 * Stores what this process counted, and reports the sums of all processes under a lease.
 *
 * <p>The figures of a window are fixed in the store before they are reported, so that two holders
 * of the lease report the same. Confined to the event loop.
 */
final class UsageReporter {
  private static final long WINDOWS_ON_TAKEOVER = 3; // Later ones are overdue anyhow.
  private static final long WINDOWS_KEPT = 12;

  /** The time after a window's end in which processes store its last counts, in milliseconds. */
  private static final long SETTLE_MILLIS = 3_000;

  /** How long to wait after a report that was not taken, in milliseconds; a tenth of its time. */
  private static final long RETRY_MILLIS = 500;

  private final UsageStore store;
  private final UsageReports reports;
  private final Scheduler scheduler;
  private final EventLog log;
  private final String nodeName;
  private final String incarnation;
  private final SendPermission permission;
  private final WindowCounts counts;
  private boolean reporting;
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

  /** Returns what counts the requests that begin to run. */
  RunMeter runs() {
    return counts::add;
  }

  /** Returns how many reports are being sent. */
  int pending() {
    return reporting ? 1 : 0;
  }

  /** Goes back to the windows that the holder before may not have reported. */
  void onLeaseChanged() {
    nextWindow = counts.window(wallMillis()) - WINDOWS_ON_TAKEOVER;
  }

  /** Stores the counts that changed. */
  void storeCounts() {
    for (long window : counts.takeChanged()) {
      var unused =
          permission
              .bounded(store.putCounts(window, incarnation, counts.counts(window)))
              .subscribe(
                  result -> {},
                  error -> {
                    log.info("usage-write-failed", "window", window, "cause", error.toString());
                    counts.markChanged(window);
                  });
    }
    counts.forgetBefore(counts.window(wallMillis()) - WINDOWS_KEPT);
  }

  /** Reports the next window once all its counts are stored. */
  void step() {
    if (reporting
        || nowMillis() < nextReportMillis
        || wallMillis() < counts.endMillis(nextWindow) + SETTLE_MILLIS) {
      return;
    }
    reporting = true;
    long window = nextWindow;
    var unused =
        permission
            .bounded(store.freeze(window))
            .flatMap(figures -> send(window, figures))
            .doFinally(() -> reporting = false)
            .subscribe(
                sent -> {
                  nextWindow = window + 1;
                  removeOld(window - WINDOWS_KEPT);
                },
                error -> {
                  nextReportMillis = nowMillis() + RETRY_MILLIS;
                  log.warn("usage-not-reported", "window", window, "cause", error.toString());
                });
  }

  private Single<Long> send(long window, ImmutableMap<String, Long> figures) {
    Optional<LeaseGuard> guard = permission.guard();
    if (guard.isEmpty()) {
      return Single.error(new IllegalStateException("the lease lapsed"));
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
    return permission.bounded(
        reports.report(window, figures, nodeName, fencingNumber).toSingleDefault(window));
  }

  private void removeOld(long window) {
    var unused =
        permission
            .bounded(store.remove(window))
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
