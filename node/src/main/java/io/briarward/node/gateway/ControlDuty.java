package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.fleet.FleetRoute;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.lease.Backoff;
import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.lease.LeaseSettings;
import io.briarward.core.lease.SuspensionDetector;
import io.briarward.core.usage.WindowCounts;
import io.briarward.core.weights.VersionOrders;
import io.briarward.node.duty.LeaseLoop;
import io.briarward.node.gateway.SamplerOrders.LoadOrder;
import io.briarward.node.gateway.SamplerOrders.RunningWork;
import io.briarward.node.platform.TableService;
import io.briarward.node.platform.UsageReports;
import io.briarward.node.telemetry.EventLog;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * What one node at a time does for all: orders to samplers and reports of usage.
 *
 * <p>Confined to the event loop.
 */
public final class ControlDuty implements AutoCloseable {
  private static final String DUTY = "control";
  private static final long STEP_MILLIS = 50;
  private static final long USAGE_WRITE_MILLIS = 500;
  private static final long WINDOWS_ON_TAKEOVER = 3; // Later ones are overdue anyhow.
  private static final long WINDOWS_KEPT = 12;

  /** The time after a window's end in which processes store its last counts, in milliseconds. */
  private static final long SETTLE_MILLIS = 3_000;

  /** How long a call that is sent under the lease may take, in milliseconds. */
  private static final long CALL_TIMEOUT_MILLIS = 700;

  /** Four renewals; a successor follows about a second after it lapses. */
  private static final long LEASE_DURATION_MILLIS = 2_500;

  private static final long LEASE_WATCH_MILLIS = 500; // Small against the duration.

  /** How long to wait with an order that a sampler did not accept, in milliseconds. */
  private static final long ORDER_RETRY_MILLIS = 400;

  /** How long to wait after a report that was not taken, in milliseconds; a tenth of its time. */
  private static final long REPORT_RETRY_MILLIS = 500;

  private static final long RELEASE_TIMEOUT_MILLIS = 1_000;

  private static final Backoff STORE_BACKOFF = new Backoff(100, 1_000);

  private final Scheduler scheduler;
  private final EventLog log;
  private final FleetState fleet;
  private final SamplerOrders samplers;
  private final UsageReports reports;
  private final UsageStore usage;
  private final WindowCounts counts;
  private final LeaseLoop lease;
  private final String nodeName;
  private final String incarnation;
  private final long turnMillis;
  private final SuspensionDetector suspension = SuspensionDetector.create();
  private final VersionOrders orders = VersionOrders.create();
  private Disposable stepping = Disposable.disposed();
  private Disposable writing = Disposable.disposed();
  private long candidateAtMillis;
  private boolean holding;
  private boolean reporting;
  private boolean stopping;
  private long nextWindow;
  private long nextReportMillis = Long.MIN_VALUE;
  private int sent;

  /**
   * What the duty works with.
   *
   * @param nodeName the VM, which receivers of orders know as the holder
   * @param incarnation unique to this process
   * @param leaseMillis the least time between orders of one holder, another and the first again
   * @param usageWindowMillis the length of a window of usage
   */
  public record Settings(
      String nodeName, String incarnation, long leaseMillis, long usageWindowMillis) {
    /** Checks the fields. */
    public Settings {
      checkNotNull(nodeName, "nodeName");
      checkNotNull(incarnation, "incarnation");
    }
  }

  private ControlDuty(
      Settings settings,
      TableService tables,
      Scheduler scheduler,
      EventLog log,
      FleetState fleet,
      SamplerOrders samplers,
      UsageReports reports) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.fleet = checkNotNull(fleet, "fleet");
    this.samplers = checkNotNull(samplers, "samplers");
    this.reports = checkNotNull(reports, "reports");
    this.usage = new UsageStore(tables);
    this.counts = WindowCounts.create(settings.usageWindowMillis());
    this.nodeName = settings.nodeName();
    this.incarnation = settings.incarnation();
    this.lease = LeaseLoop.create(tables, scheduler, leaseSettings(), DUTY, incarnation);
    lease.setWatching(true);
    this.turnMillis = settings.leaseMillis();
    this.candidateAtMillis = nowMillis() + turnMillis;
  }

  /** Starts to compete for the lease. */
  public static ControlDuty start(
      Settings settings,
      TableService tables,
      Scheduler scheduler,
      EventLog log,
      FleetState fleet,
      SamplerOrders samplers,
      UsageReports reports) {
    ControlDuty duty = new ControlDuty(settings, tables, scheduler, log, fleet, samplers, reports);
    duty.stepping = duty.every(STEP_MILLIS, duty::step);
    duty.writing = duty.every(USAGE_WRITE_MILLIS, duty::writeCounts);
    return duty;
  }

  /** Returns times that let a successor act soon after a death; orders end within the margin. */
  private static LeaseSettings leaseSettings() {
    return new LeaseSettings(
        LEASE_DURATION_MILLIS,
        LEASE_DURATION_MILLIS / 3,
        LEASE_WATCH_MILLIS,
        CALL_TIMEOUT_MILLIS,
        CALL_TIMEOUT_MILLIS,
        CALL_TIMEOUT_MILLIS,
        STORE_BACKOFF);
  }

  /** Returns what counts the requests that begin to run. */
  public RunMeter runs() {
    return counts::add;
  }

  /** Gives the lease up once all that was sent under it is answered, and stores the last counts. */
  public Completable stop() {
    return Completable.fromAction(() -> stopping = true)
        .andThen(
            Flowable.interval(STEP_MILLIS, TimeUnit.MILLISECONDS, scheduler)
                .takeUntil((Long unused) -> released())
                .ignoreElements())
        .timeout(RELEASE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
        .doOnError(error -> log.warn("lease-not-released", "cause", error.toString()))
        .onErrorComplete()
        .andThen(Completable.fromAction(this::writeCounts));
  }

  @Override
  public void close() {
    stepping.dispose();
    writing.dispose();
  }

  private Disposable every(long millis, Runnable action) {
    return Flowable.interval(millis, TimeUnit.MILLISECONDS, scheduler)
        .onBackpressureDrop()
        .subscribe(unused -> action.run());
  }

  private boolean released() {
    if (sent == 0) {
      lease.release();
    }
    return lease.released();
  }

  private void step() {
    // No VM holds the lease, loses it to another and takes it back within one turn. A restarted
    // VM waits too, since an order of its last process may be as old as its start.
    lease.setCandidate(!stopping && (holding || nowMillis() >= candidateAtMillis));
    Optional<LeaseGuard> guard = guard();
    if (guard.isPresent() != holding) {
      holding = guard.isPresent();
      candidateAtMillis = nowMillis() + turnMillis;
      log.info(
          holding ? "lease-taken" : "lease-lost",
          "duty",
          DUTY,
          "fencingNumber",
          guard.map(LeaseGuard::fencingNumber).orElse(0L));
      nextWindow = counts.window(wallMillis()) - WINDOWS_ON_TAKEOVER;
    }
    lease.step();
    if (holding && !stopping) {
      sendOrders();
      reportUsage();
    }
  }

  /** Returns the permission to send right now. */
  private Optional<LeaseGuard> guard() {
    if (suspension.suspended(nowMillis(), wallMillis())) {
      log.warn("suspended", "duty", DUTY);
      lease.onStaleFencingNumber();
    }
    return lease.guard().filter(guard -> guard.mayStart(nowMillis()));
  }

  private void sendOrders() {
    ImmutableList<UpstreamEntry> entries = ImmutableList.copyOf(fleet.balancer().entries());
    for (VersionOrders.Order order : orders.next(entries, fleet.announced(), nowMillis())) {
      sent++;
      var unused =
          bounded(samplers.status(order.sampler()))
              .flatMap(status -> send(order, status))
              .doFinally(() -> sent--)
              .subscribe(
                  accepted -> onOrderAnswered(order, accepted ? "accepted" : "not-accepted"),
                  error -> onOrderAnswered(order, error.toString()));
    }
  }

  private Single<Boolean> send(VersionOrders.Order order, SamplerOrders.Status status) {
    if (status.modelVersions().getOrDefault(order.model(), 0L) >= order.version()) {
      return Single.just(true);
    }
    Optional<LeaseGuard> guard = guard();
    if (status.busy() || guard.isEmpty()) {
      return Single.just(false);
    }
    LoadOrder load =
        new LoadOrder(
            order.sampler(),
            order.model(),
            order.version(),
            runningWork(order.sampler().service()),
            status.acceptedOrders(),
            nodeName,
            guard.get().fencingNumber());
    log.info(
        "order-sent",
        "sampler",
        order.sampler().id(),
        "model",
        order.model(),
        "version",
        order.version(),
        "acceptedOrders",
        status.acceptedOrders(),
        "fencingNumber",
        load.fencingNumber());
    return bounded(samplers.load(load));
  }

  private void onOrderAnswered(VersionOrders.Order order, String outcome) {
    log.info(
        "order-answered",
        "sampler",
        order.sampler().id(),
        "model",
        order.model(),
        "version",
        order.version(),
        "outcome",
        outcome);
    if (!outcome.equals("accepted")) {
      orders.onRejected(order, nowMillis(), ORDER_RETRY_MILLIS);
    }
  }

  /** Lets runs go on under new weights unless some result must have a single version. */
  private RunningWork runningWork(String service) {
    boolean singleVersion =
        fleet.configuration().stream()
            .flatMap(configuration -> configuration.routes().stream())
            .filter(FleetRoute::singleVersion)
            .flatMap(route -> route.targets().stream())
            .anyMatch(target -> target.service().equals(service));
    return singleVersion ? RunningWork.FINISH : RunningWork.KEEP;
  }

  private void writeCounts() {
    for (long window : counts.takeChanged()) {
      var unused =
          bounded(usage.putCounts(window, incarnation, counts.counts(window)))
              .subscribe(
                  result -> {},
                  error -> {
                    log.info("usage-write-failed", "window", window, "cause", error.toString());
                    counts.markChanged(window);
                  });
    }
    counts.forgetBefore(counts.window(wallMillis()) - WINDOWS_KEPT);
  }

  private void reportUsage() {
    if (reporting
        || nowMillis() < nextReportMillis
        || wallMillis() < counts.endMillis(nextWindow) + SETTLE_MILLIS) {
      return;
    }
    reporting = true;
    sent++;
    long window = nextWindow;
    var unused =
        bounded(usage.freeze(window))
            .flatMapCompletable(
                figures -> {
                  Optional<LeaseGuard> guard = guard();
                  if (guard.isEmpty()) {
                    return Completable.error(new IllegalStateException("the lease lapsed"));
                  }
                  long number = guard.get().fencingNumber();
                  log.info(
                      "usage-sent",
                      "window",
                      window,
                      "organisations",
                      figures.size(),
                      "requests",
                      figures.values().stream().mapToLong(Long::longValue).sum(),
                      "fencingNumber",
                      number);
                  return reports
                      .report(window, figures, nodeName, number)
                      .timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler);
                })
            .observeOn(scheduler)
            .doFinally(
                () -> {
                  reporting = false;
                  sent--;
                })
            .subscribe(
                () -> {
                  nextWindow = window + 1;
                  removeOld(window - WINDOWS_KEPT);
                },
                error -> {
                  nextReportMillis = nowMillis() + REPORT_RETRY_MILLIS;
                  log.warn("usage-not-reported", "window", window, "cause", error.toString());
                });
  }

  private void removeOld(long window) {
    var unused =
        bounded(usage.remove(window))
            .subscribe(
                result -> {},
                error -> log.info("usage-kept", "window", window, "cause", error.toString()));
  }

  private <T> Single<T> bounded(Single<T> call) {
    return call.timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler).observeOn(scheduler);
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  private static long wallMillis() {
    return System.currentTimeMillis();
  }
}
