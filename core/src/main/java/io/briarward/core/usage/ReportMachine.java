package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSortedSet.toImmutableSortedSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Sets;
import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.lease.OperationTracker;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Freezes windows in order and sends the frozen figures, under the reports' lease.
 *
 * <p>Each term of the lease starts from the rows in the table service. A window is frozen once
 * every incarnation has sealed it or has been silent for {@link UsageSettings#deadAfterMillis}, and
 * at the latest one window length after its end. Only frozen figures are sent, so that a repeated
 * report has the same figures. Monotonic and wall-clock times are in milliseconds. Not thread-safe.
 */
public final class ReportMachine {
  /** The name of the duty whose lease covers the reports. */
  public static final String DUTY = "reports/all";

  private static final ReportAction NONE = new ReportAction.None();

  private final UsageSettings settings;
  private final OperationTracker operations;
  private final IncarnationTracker incarnations;

  private Step step = Step.READ_HEAD;
  private long term;
  private HeadRow head = new HeadRow(0, 0);
  private FrozenWindow previous;
  private long nextScanMillis;
  private long registrationsVersion;
  private ImmutableSet<String> unsealed = ImmutableSet.of();
  private ImmutableMap<String, Row> rows = ImmutableMap.of();
  private ImmutableSortedSet<IncarnationWindow> late = ImmutableSortedSet.of();
  private final Deque<IncarnationWindow> toRead = new ArrayDeque<>();
  private final Map<String, Row> lateRows = new HashMap<>();
  private Optional<WindowFreezer.Result> result = Optional.empty();
  private Optional<FrozenWindow> sending = Optional.empty();
  private final Deque<String> toSend = new ArrayDeque<>();
  private long differentFigures;
  private long lastWorkOperation;
  private boolean workOutstanding;

  private enum Step {
    READ_HEAD,
    FIND_FIRST_INCARNATION,
    FIND_FIRST_USAGE,
    READ_PREVIOUS,
    CHOOSE,
    READ_UNSENT,
    SEND,
    MARK_SENT,
    READ_REGISTRATIONS,
    SCAN_INCARNATIONS,
    SCAN_USAGE,
    SCAN_LATE,
    READ_LATE,
    FREEZE
  }

  private ReportMachine(UsageSettings settings) {
    this.settings = checkNotNull(settings, "settings");
    this.operations = OperationTracker.create(settings.requestTimeoutMillis(), settings.backoff());
    this.incarnations = IncarnationTracker.create(settings);
  }

  /** Returns a machine that has not read any state yet. */
  public static ReportMachine create(UsageSettings settings) {
    return new ReportMachine(settings);
  }

  /** Returns the start of the last frozen window, as last read or written by this machine. */
  public long frozenMillis() {
    return head.frozenMillis();
  }

  /**
   * Returns the start of the last fully reported window, as last read or written by this machine.
   */
  public long reportedMillis() {
    return head.reportedMillis();
  }

  /** Returns how many reports were rejected because different figures were stored before. */
  public long differentFigures() {
    return differentFigures;
  }

  /**
   * Returns the next action.
   *
   * @param guard the guard of the lease, present while the lease is held
   */
  public ReportAction poll(long nowMillis, long epochMillis, Optional<LeaseGuard> guard) {
    operations.expire(nowMillis);
    if (guard.isEmpty() || !operations.ready(nowMillis)) {
      return NONE;
    }
    if (guard.get().fencingNumber() != term) {
      term = guard.get().fencingNumber();
      workOutstanding = false;
      step = Step.READ_HEAD;
    }
    if (workOutstanding) {
      return NONE;
    }
    if (step == Step.CHOOSE) {
      chooseStep(nowMillis, epochMillis);
    }
    return next(nowMillis, epochMillis, guard.get());
  }

  /** Handles the row read by a {@link ReportAction.Read}. */
  public void onRead(long operation, Optional<Row> row) {
    if (!operations.accept(operation)) {
      return;
    }
    switch (step) {
      case READ_HEAD -> {
        head = row.map(each -> HeadRow.parse(each.value())).orElse(head);
        step = row.isPresent() ? Step.READ_PREVIOUS : Step.FIND_FIRST_INCARNATION;
      }
      case READ_PREVIOUS -> {
        previous = FrozenWindow.parse(head.frozenMillis(), row.orElseThrow().value());
        step = Step.CHOOSE;
      }
      case READ_UNSENT -> startSending(row.orElseThrow());
      case READ_REGISTRATIONS -> {
        registrationsVersion = row.map(Row::version).orElse(Transaction.ABSENT);
        step = Step.SCAN_INCARNATIONS;
      }
      case READ_LATE -> {
        toRead.remove();
        row.ifPresent(each -> lateRows.put(each.key(), each));
        step = toRead.isEmpty() ? Step.FREEZE : Step.READ_LATE;
      }
      default -> throw new IllegalStateException("unexpected row in step " + step);
    }
  }

  /** Handles the rows found by a {@link ReportAction.Scan}, in any order. */
  public void onScan(long operation, long nowMillis, long epochMillis, ImmutableList<Row> found) {
    if (!operations.accept(operation)) {
      return;
    }
    switch (step) {
      case FIND_FIRST_INCARNATION -> {
        incarnations.observe(found, nowMillis);
        step = Step.FIND_FIRST_USAGE;
      }
      case FIND_FIRST_USAGE -> {
        startBefore(firstWindowMillis(found, epochMillis));
        step = Step.CHOOSE;
      }
      case SCAN_INCARNATIONS -> {
        incarnations.observe(found, nowMillis);
        checkSealed(nowMillis, epochMillis);
      }
      case SCAN_USAGE -> {
        rows = found.stream().collect(toImmutableMap(Row::key, row -> row));
        step = Step.SCAN_LATE;
      }
      case SCAN_LATE -> {
        late =
            found.stream()
                .map(row -> UsageTables.parse(row.key()))
                .collect(toImmutableSortedSet(Comparator.naturalOrder()));
        lateRows.clear();
        toRead.clear();
        toRead.addAll(freezer().earlier(late));
        step = toRead.isEmpty() ? Step.FREEZE : Step.READ_LATE;
      }
      default -> throw new IllegalStateException("unexpected rows in step " + step);
    }
  }

  /**
   * Handles the outcome of a {@link ReportAction.Work}; there is no timeout, since the lease
   * determines the outcome.
   */
  public void onWork(long operation, boolean committed) {
    if (!workOutstanding || operation != lastWorkOperation) {
      return;
    }
    workOutstanding = false;
    if (!committed) {
      step = Step.READ_HEAD;
      return;
    }
    if (step == Step.FREEZE) {
      previous = result.orElseThrow().window();
      head = new HeadRow(previous.windowStartMillis(), head.reportedMillis());
    } else {
      head = new HeadRow(head.frozenMillis(), sending.orElseThrow().windowStartMillis());
    }
    step = Step.CHOOSE;
  }

  /** Handles the answer to a {@link ReportAction.Send}. */
  public void onSent(long operation, SendOutcome outcome) {
    if (!operations.accept(operation)) {
      return;
    }
    if (outcome == SendOutcome.STALE_FENCING_NUMBER) {
      step = Step.READ_HEAD;
      return;
    }
    if (outcome == SendOutcome.DIFFERENT_FIGURES) {
      differentFigures++;
    }
    toSend.remove();
    step = toSend.isEmpty() ? Step.MARK_SENT : Step.SEND;
  }

  /** Handles an action whose outcome is unknown or that was rejected temporarily. */
  public void onFailure(long operation, long nowMillis, long retryAfterMillis) {
    operations.fail(operation, nowMillis, retryAfterMillis);
  }

  private ReportAction next(long nowMillis, long epochMillis, LeaseGuard guard) {
    return switch (step) {
      case READ_HEAD -> read(nowMillis, UsageTables.head());
      case FIND_FIRST_INCARNATION, SCAN_INCARNATIONS ->
          scan(nowMillis, UsageTables.INCARNATIONS, "");
      case FIND_FIRST_USAGE -> scan(nowMillis, UsageTables.USAGE, "");
      case READ_PREVIOUS -> read(nowMillis, UsageTables.frozen(head.frozenMillis()));
      case READ_UNSENT -> read(nowMillis, UsageTables.frozen(nextUnsentMillis()));
      case READ_REGISTRATIONS -> read(nowMillis, UsageTables.registrations());
      case SCAN_USAGE ->
          scan(nowMillis, UsageTables.USAGE, UsageTables.prefix(freezer().windowStartMillis()));
      case SCAN_LATE -> scan(nowMillis, UsageTables.LATE, "");
      case READ_LATE -> readLate(nowMillis);
      case FREEZE -> freeze(nowMillis);
      case SEND -> send(nowMillis, guard);
      case MARK_SENT -> markSent();
      case CHOOSE -> NONE;
    };
  }

  private void chooseStep(long nowMillis, long epochMillis) {
    if (head.reportedMillis() < head.frozenMillis()) {
      step = Step.READ_UNSENT;
      return;
    }
    long endMillis = freezer().windowStartMillis() + settings.windowMillis();
    boolean endsSoon = epochMillis >= endMillis - settings.deadAfterMillis();
    if (endsSoon && nowMillis >= nextScanMillis) {
      step = Step.READ_REGISTRATIONS;
    }
  }

  private long nextUnsentMillis() {
    return head.reportedMillis() + settings.windowMillis();
  }

  private WindowFreezer freezer() {
    return WindowFreezer.after(settings, previous);
  }

  private ReportAction read(long nowMillis, RowKey key) {
    return new ReportAction.Read(operations.begin(nowMillis), key);
  }

  private ReportAction scan(long nowMillis, String table, String prefix) {
    return new ReportAction.Scan(operations.begin(nowMillis), table, prefix);
  }

  private ReportAction readLate(long nowMillis) {
    IncarnationWindow usage = toRead.element();
    return read(nowMillis, UsageTables.usage(usage.windowStartMillis(), usage.incarnation()));
  }

  private long firstWindowMillis(ImmutableList<Row> found, long epochMillis) {
    long firstMillis = settings.windowStartMillis(epochMillis);
    firstMillis = Math.min(firstMillis, incarnations.firstUnsealedMillis().orElse(firstMillis));
    for (Row row : found) {
      firstMillis = Math.min(firstMillis, UsageTables.parse(row.key()).windowStartMillis());
    }
    return firstMillis;
  }

  private void startBefore(long firstMillis) {
    previous = FrozenWindow.before(firstMillis, settings.windowMillis());
    head = new HeadRow(previous.windowStartMillis(), previous.windowStartMillis());
  }

  private void checkSealed(long nowMillis, long epochMillis) {
    long endMillis = freezer().windowStartMillis() + settings.windowMillis();
    nextScanMillis = nowMillis + settings.scanMillis();
    unsealed = incarnations.unsealed(endMillis);
    boolean overdue = epochMillis >= endMillis + settings.windowMillis();
    boolean allSealedOrSilent =
        Sets.difference(unsealed, incarnations.silent(nowMillis)).isEmpty() || overdue;
    boolean sealDelayElapsed = epochMillis >= endMillis + settings.sealDelayMillis();
    step = sealDelayElapsed && allSealedOrSilent ? Step.SCAN_USAGE : Step.CHOOSE;
  }

  private ReportAction freeze(long nowMillis) {
    long oldestMillis =
        freezer().windowStartMillis() - settings.retentionWindows() * settings.windowMillis();
    WindowFreezer.Input input =
        new WindowFreezer.Input(
            registrationsVersion,
            unsealed,
            rows,
            late,
            ImmutableMap.copyOf(lateRows),
            incarnations.removable(nowMillis, oldestMillis));
    WindowFreezer.Result frozen = freezer().freeze(input, head.reportedMillis());
    result = Optional.of(frozen);
    return work(frozen.transaction());
  }

  private void startSending(Row row) {
    FrozenWindow window = FrozenWindow.parse(nextUnsentMillis(), row.value());
    sending = Optional.of(window);
    toSend.clear();
    toSend.addAll(window.organisations());
    step = toSend.isEmpty() ? Step.MARK_SENT : Step.SEND;
  }

  private ReportAction send(long nowMillis, LeaseGuard guard) {
    FrozenWindow window = sending.orElseThrow();
    String organisation = toSend.element();
    return new ReportAction.Send(
        operations.begin(nowMillis),
        organisation,
        window.windowStartMillis(),
        window.figuresOf(organisation),
        guard);
  }

  private ReportAction markSent() {
    HeadRow next = new HeadRow(head.frozenMillis(), sending.orElseThrow().windowStartMillis());
    Transaction transaction = Transaction.builder().put(UsageTables.head(), next.toJson()).build();
    return work(transaction);
  }

  private ReportAction work(Transaction transaction) {
    lastWorkOperation++;
    workOutstanding = true;
    return new ReportAction.Work(lastWorkOperation, transaction);
  }
}
