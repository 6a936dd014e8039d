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
import java.util.function.Supplier;

/**
 * What one node at a time does for all: orders to samplers and reports of usage.
 *
 * <p>Confined to the event loop.
 */
public final class ControlDuty implements AutoCloseable {
  private static final String DUTY = "control";
  private static final long STEP_MILLIS = 50;
  private static final long USAGE_WRITE_MILLIS = 500;

  /** How long a call that is sent under the lease may take, in milliseconds. */
  private static final long CALL_TIMEOUT_MILLIS = 700;

  /** Four renewals; a successor follows about a second after it lapses. */
  private static final long LEASE_DURATION_MILLIS = 2_500;

  private static final long LEASE_WATCH_MILLIS = 500; // Small against the duration.

  private static final long RELEASE_TIMEOUT_MILLIS = 1_000;

  private static final Backoff STORE_BACKOFF = new Backoff(100, 1_000);

  private final Scheduler scheduler;
  private final EventLog log;
  private final LoadOrderSender loads;
  private final UsageReporter usage;
  private final LeaseRunner lease;
  private final long turnMillis;
  private final SuspensionDetector suspension = SuspensionDetector.create();
  private Disposable stepping = Disposable.disposed();
  private Disposable writing = Disposable.disposed();
  private long candidateAtMillis;
  private boolean holding;
  private boolean stopping;

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
      UsageReports reports,
      Supplier<ImmutableMap<String, FreshnessDemand>> demands) {
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
    lease.setWatching(true);
    this.turnMillis = settings.leaseMillis();
    this.candidateAtMillis = nowMillis() + turnMillis;
    SendPermission permission = new LeasePermission();
    this.loads =
        new LoadOrderSender(
            samplers, fleet, scheduler, log, settings.nodeName(), demands, permission);
    this.usage = new UsageReporter(tables, reports, scheduler, log, settings, permission);
  }

  /**
   * Starts to compete for the lease.
   *
   * @param demands how fresh the weights of each model must be now
   */
  public static ControlDuty start(
      Settings settings,
      TableService tables,
      Scheduler scheduler,
      EventLog log,
      FleetState fleet,
      SamplerOrders samplers,
      UsageReports reports,
      Supplier<ImmutableMap<String, FreshnessDemand>> demands) {
    ControlDuty duty =
        new ControlDuty(settings, tables, scheduler, log, fleet, samplers, reports, demands);
    duty.stepping = Timers.every(scheduler, STEP_MILLIS, duty::step);
    duty.writing = Timers.every(scheduler, USAGE_WRITE_MILLIS, duty.usage::storeCounts);
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
    return usage.runs();
  }

  /** Gives the lease up once all that was sent under it is answered, and stores the last counts. */
  public Completable stop() {
    return Completable.fromAction(() -> stopping = true)
        .andThen(Timers.until(scheduler, STEP_MILLIS, this::released))
        .timeout(RELEASE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
        .doOnError(error -> log.warn("lease-not-released", "cause", error.toString()))
        .onErrorComplete()
        .andThen(Completable.fromAction(usage::storeCounts));
  }

  @Override
  public void close() {
    stepping.dispose();
    writing.dispose();
  }

  private boolean released() {
    if (loads.pending() + usage.pending() == 0) {
      lease.release();
    }
    return lease.released();
  }

  private void step() {
    // No VM holds the lease, loses it to another and takes it back within one turn. A restarted
    // VM waits too, since an order of its last process may be as old as its start, unless nobody
    // held the lease after that process.
    boolean turnOver = nowMillis() >= candidateAtMillis;
    lease.setCandidate(!stopping && (holding || turnOver || lease.isHeldByPredecessor()));
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
      usage.onLeaseChanged();
    }
    lease.step();
    if (holding && !stopping) {
      loads.step();
      usage.step();
    }
  }

  /** Returns the permission to send right now. */
  private Optional<LeaseGuard> guard() {
    if (suspension.detectSuspension(nowMillis(), wallMillis())) {
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
    public <T> Single<T> bounded(Single<T> call) {
      return call.timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
          .observeOn(scheduler);
    }
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  private static long wallMillis() {
    return System.currentTimeMillis();
  }
}
