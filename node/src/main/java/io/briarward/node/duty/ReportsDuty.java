package io.briarward.node.duty;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.usage.ReportAction;
import io.briarward.core.usage.ReportMachine;
import io.briarward.core.usage.SendOutcome;
import io.briarward.core.usage.UsageSettings;
import io.briarward.node.platform.ReportSink;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The duty to freeze usage windows and send their reports, as decided by a {@link ReportMachine}.
 *
 * <p>Confined to the scheduler's thread.
 */
final class ReportsDuty implements Duty {
  private final TableService tables;
  private final ReportSink sink;
  private final Scheduler scheduler;
  private final LongSupplier wallMillis;
  private final LeaseRunner lease;
  private final ReportMachine machine;
  private int reportsInFlight;

  private ReportsDuty(
      TableService tables,
      ReportSink sink,
      Scheduler scheduler,
      LongSupplier wallMillis,
      LeaseRunner lease,
      ReportMachine machine) {
    this.tables = checkNotNull(tables, "tables");
    this.sink = checkNotNull(sink, "sink");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.wallMillis = checkNotNull(wallMillis, "wallMillis");
    this.lease = checkNotNull(lease, "lease");
    this.machine = checkNotNull(machine, "machine");
  }

  static ReportsDuty create(
      TableService tables,
      ReportSink sink,
      Scheduler scheduler,
      LongSupplier wallMillis,
      UsageSettings settings,
      String incarnation) {
    LeaseRunner lease = LeaseRunner.create(tables, scheduler, ReportMachine.DUTY, incarnation);
    return new ReportsDuty(
        tables, sink, scheduler, wallMillis, lease, ReportMachine.create(settings));
  }

  @Override
  public String name() {
    return ReportMachine.DUTY;
  }

  @Override
  public LeaseRunner lease() {
    return lease;
  }

  @Override
  public boolean isIdle() {
    return reportsInFlight == 0;
  }

  @Override
  public void step() {
    execute(machine.poll(nowMillis(), wallMillis.getAsLong(), lease.guard()));
    lease.step();
  }

  private void execute(ReportAction action) {
    if (action instanceof ReportAction.Read read) {
      PlatformCalls.subscribe(
          tables.read(read.row()),
          scheduler,
          row -> machine.onRead(read.operation(), row),
          () -> machine.onFailure(read.operation(), nowMillis(), 0));
    } else if (action instanceof ReportAction.Scan scan) {
      PlatformCalls.subscribe(
          PlatformCalls.scanAll(tables, scan.table(), scan.prefix()),
          scheduler,
          rows -> machine.onScan(scan.operation(), nowMillis(), wallMillis.getAsLong(), rows),
          () -> machine.onFailure(scan.operation(), nowMillis(), 0));
    } else if (action instanceof ReportAction.Work work) {
      lease.submit(work.transaction(), committed -> machine.onWork(work.operation(), committed));
    } else if (action instanceof ReportAction.Send send) {
      send(send);
    }
  }

  private void send(ReportAction.Send send) {
    long timeoutMillis = send.guard().sendTimeoutMillis(nowMillis());
    if (timeoutMillis == 0) {
      machine.onFailure(send.operation(), nowMillis(), 0);
      return;
    }
    reportsInFlight++;
    Single<SendOutcome> sent =
        sink.send(
                send.organisation(),
                send.windowStartMillis(),
                send.figures(),
                send.guard().fencingNumber())
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler)
            .observeOn(scheduler)
            .doFinally(() -> reportsInFlight--);
    PlatformCalls.subscribe(
        sent,
        scheduler,
        outcome -> onSent(send.operation(), outcome),
        () -> machine.onFailure(send.operation(), nowMillis(), 0));
  }

  private void onSent(long operation, SendOutcome outcome) {
    if (outcome == SendOutcome.STALE_FENCING_NUMBER) {
      lease.onStaleFencingNumber();
    }
    machine.onSent(operation, outcome);
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
