package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.lease.Backoff;
import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.lease.LeaseSettings;
import io.briarward.core.lease.SuspensionDetector;
import io.briarward.core.weights.FreshnessDemand;
import io.briarward.node.duty.LeaseRunner;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.Incarnations;
import io.briarward.node.platform.TableService;
import io.briarward.node.platform.UsageReports;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Sends load orders to samplers and reports usage on behalf of all nodes.
 *
 * <p>One node at a time does so, under a lease. Confined to the event loop.
 */
public final class ControlDuty implements AutoCloseable {
  /** The name of the duty, which is the key of its lease. */
  static final String DUTY = "control";

  private static final long STEP_INTERVAL_MILLIS = 50;

  /** A fifth of the interval at which a process that does not hold the lease reads it. */
  private static final long IDLE_STEP_INTERVAL_MILLIS = 100;

  /**
   * The time after the start in which a process reads the lease even if it is no candidate, since
   * it does not know the other processes yet, and may succeed its predecessor on the same VM.
   */
  private static final long START_MILLIS = 5_000;

  private static final long USAGE_WRITE_INTERVAL_MILLIS = 500;

  /** The time-out of each call that is sent under the lease, in milliseconds. */
  private static final long CALL_TIMEOUT_MILLIS = 700;

  /** Three renewal intervals; a successor takes over about one second after expiry. */
  private static final long LEASE_DURATION_MILLIS = 2_500;

  /** Short compared with the lease duration. */
  private static final long LEASE_WATCH_INTERVAL_MILLIS = 500;

  private static final long RELEASE_TIMEOUT_MILLIS = 1_000;

  private static final Backoff STORE_BACKOFF = new Backoff(100, 1_000);

  private final Scheduler scheduler;
  private final EventLog log;
  private final LoadOrderSender loads;
  private final UsageReporter usage;
  private final LeaseRunner lease;
  private final long reacquireDelayMillis;
  private final BooleanSupplier isCandidate;
  private final long startedAtMillis;
  private final LongSupplier timeOfDayMillis;
  private final SuspensionDetector suspension = SuspensionDetector.create();
  private Disposable stepTimer = Disposable.disposed();
  private Disposable usageWriteTimer = Disposable.disposed();
  private long candidateFromMillis;
  private long candidacyReadMillis = Long.MIN_VALUE / 2;
  private boolean wasCandidate;
  private boolean leaseHeld;
  private boolean stopping;

  /**
   * Identity and durations of the duty.
   *
   * @param nodeName the name of the VM, sent with each order and report as the lease holder
   * @param incarnation the incarnation of this process, unique among all processes
   * @param reacquireDelayMillis the minimum time before a VM that lost the lease to another VM may
   *     take it back, in milliseconds
   * @param usageWindowMillis the length of a usage window, in milliseconds
   */
  public record Settings(
      String nodeName, String incarnation, long reacquireDelayMillis, long usageWindowMillis) {
    /** Validates the components. */
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
      UsageReports reports,
      Supplier<ImmutableMap<String, FreshnessDemand>> demands,
      BooleanSupplier isCandidate,
      LongSupplier timeOfDayMillis) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.lease =
        LeaseRunner.create(
            tables,
            scheduler,
            leaseSettings(),
            DUTY,
            settings.incarnation(),
            other -> Incarnations.sameVm(other, settings.incarnation()));
    this.isCandidate = checkNotNull(isCandidate, "isCandidate");
    this.timeOfDayMillis = checkNotNull(timeOfDayMillis, "timeOfDayMillis");
    this.startedAtMillis = nowMillis();
    this.reacquireDelayMillis = settings.reacquireDelayMillis();
    this.candidateFromMillis = nowMillis() + reacquireDelayMillis;
    SendPermission permission = new LeasePermission();
    this.loads =
        new LoadOrderSender(
            samplers, fleet, scheduler, log, settings.nodeName(), demands, permission);
    this.usage = new UsageReporter(tables, reports, scheduler, log, settings, permission);
  }

  /**
   * Starts a duty that competes for the lease.
   *
   * @param demands returns the current staleness bound of each model's weights
   * @param isCandidate returns whether this process is one of those that compete for the lease
   * @param timeOfDayMillis the clock that a suspension of the VM does not stop, in milliseconds
   */
  public static ControlDuty start(
      Settings settings,
      TableService tables,
      Scheduler scheduler,
      EventLog log,
      FleetState fleet,
      SamplerOrders samplers,
      UsageReports reports,
      Supplier<ImmutableMap<String, FreshnessDemand>> demands,
      BooleanSupplier isCandidate,
      LongSupplier timeOfDayMillis) {
    ControlDuty duty =
        new ControlDuty(
            settings,
            tables,
            scheduler,
            log,
            fleet,
            samplers,
            reports,
            demands,
            isCandidate,
            timeOfDayMillis);
    duty.stepTimer = Timers.repeatedly(scheduler, duty::stepIntervalMillis, duty::step);
    duty.usageWriteTimer =
        Timers.every(scheduler, USAGE_WRITE_INTERVAL_MILLIS, duty.usage::storeCounts);
    return duty;
  }

  /**
   * Returns durations that let a successor take over soon after the lease holder fails.
   *
   * <p>The send margin equals the time-out of a call, so an order ends before the lease expires.
   */
  private static LeaseSettings leaseSettings() {
    return new LeaseSettings(
        LEASE_DURATION_MILLIS,
        LEASE_DURATION_MILLIS / 3,
        LEASE_WATCH_INTERVAL_MILLIS,
        CALL_TIMEOUT_MILLIS,
        CALL_TIMEOUT_MILLIS,
        CALL_TIMEOUT_MILLIS,
        STORE_BACKOFF);
  }

  /** Returns the meter that counts the requests that start to run. */
  public RunMeter runs() {
    return usage.runs();
  }

  /**
   * Releases the lease and stores the last usage counts.
   *
   * <p>The lease is released once no order or report is in flight. Completes without an error also
   * if the lease is not released in time.
   */
  public Completable stop() {
    return Completable.fromAction(() -> stopping = true)
        .andThen(Timers.until(scheduler, STEP_INTERVAL_MILLIS, this::releaseIfIdle))
        .timeout(RELEASE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
        .doOnError(error -> log.warn("lease-not-released", "cause", error.toString()))
        .onErrorComplete()
        .andThen(Completable.fromAction(usage::storeCounts));
  }

  @Override
  public void close() {
    stepTimer.dispose();
    usageWriteTimer.dispose();
  }

  private boolean releaseIfIdle() {
    if (loads.pending() + usage.pending() == 0) {
      lease.release();
    }
    return lease.released();
  }

  private long stepIntervalMillis() {
    return leaseHeld ? STEP_INTERVAL_MILLIS : IDLE_STEP_INTERVAL_MILLIS;
  }

  private void step() {
    boolean competes =
        leaseHeld || nowMillis() < startedAtMillis + START_MILLIS || wasCandidateLately();
    lease.setWatching(competes);
    // A VM that lost the lease to another VM may take it back only after reacquireDelayMillis. A
    // restarted VM waits as well, since its previous process may have sent an order just before the
    // restart, unless no other VM has held the lease since that process.
    boolean reacquireDelayOver = nowMillis() >= candidateFromMillis;
    lease.setCandidate(
        !stopping
            && (leaseHeld || (competes && (reacquireDelayOver || lease.isHeldByPredecessor()))));
    Optional<LeaseGuard> guard = guard();
    if (guard.isPresent() != leaseHeld) {
      leaseHeld = guard.isPresent();
      candidateFromMillis = nowMillis() + reacquireDelayMillis;
      log.info(
          leaseHeld ? "lease-taken" : "lease-lost",
          "duty",
          DUTY,
          "fencingNumber",
          guard.map(LeaseGuard::fencingNumber).orElse(0L));
      usage.onLeaseChanged();
    }
    lease.step();
    if (leaseHeld && !stopping) {
      loads.step();
      usage.step();
    }
  }

  /**
   * Returns whether this process was a candidate when that was last determined, which is done as
   * often as the lease is read; it hashes the incarnations of all processes.
   */
  private boolean wasCandidateLately() {
    if (nowMillis() - candidacyReadMillis >= LEASE_WATCH_INTERVAL_MILLIS) {
      candidacyReadMillis = nowMillis();
      wasCandidate = isCandidate.getAsBoolean();
    }
    return wasCandidate;
  }

  /** Returns the guard of the lease, or empty if no send may start now. */
  private Optional<LeaseGuard> guard() {
    if (suspension.detectSuspension(nowMillis(), timeOfDayMillis.getAsLong())) {
      log.warn("suspended", "duty", DUTY);
      lease.onStaleFencingNumber();
    }
    return lease.guard().filter(guard -> guard.mayStart(nowMillis()));
  }

  private final class LeasePermission implements SendPermission {
    @Override
    public Optional<LeaseGuard> guard() {
      return ControlDuty.this.guard();
    }

    @Override
    public <T> Single<T> withTimeout(Single<T> call) {
      return call.timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
          .observeOn(scheduler);
    }
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
