package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import io.briarward.core.lease.OperationTracker;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Transaction;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Registers an incarnation, writes its counters to the table service and seals its windows.
 *
 * <p>The incarnation may serve requests once it is {@link #registered}. Monotonic and wall-clock
 * times are in milliseconds; the wall clock only determines the window of a record and when a
 * window is sealed. Not thread-safe.
 */
public final class UsageOwner {
  private final UsageSettings settings;
  private final String incarnation;
  private final UsageLedger ledger;
  private final CopySender sender;
  private final FlushRunner runner;
  private final OperationTracker registration;
  private final Map<Long, Long> rowVersions = new HashMap<>();
  private final Deque<Long> windowsToFlush = new ArrayDeque<>();

  private boolean registered;
  private boolean flushing;
  private boolean flushRequested;
  private boolean ending;
  private boolean ended;
  private long flushSequence;
  private long sealedBeforeMillis;
  private long nextFlushMillis = Long.MIN_VALUE;
  private long writes;

  private UsageOwner(
      UsageSettings settings, String incarnation, UsageLedger ledger, CopySender sender) {
    this.settings = checkNotNull(settings, "settings");
    this.incarnation = checkNotNull(incarnation, "incarnation");
    this.ledger = checkNotNull(ledger, "ledger");
    this.sender = checkNotNull(sender, "sender");
    this.runner = FlushRunner.create(settings);
    this.registration =
        OperationTracker.create(settings.requestTimeoutMillis(), settings.backoff());
    this.sealedBeforeMillis = ledger.openWindowMillis();
  }

  /**
   * Returns an owner whose incarnation is not registered yet.
   *
   * @param sender the sender to notify of completed writes
   */
  public static UsageOwner create(
      UsageSettings settings, String incarnation, UsageLedger ledger, CopySender sender) {
    return new UsageOwner(settings, incarnation, ledger, sender);
  }

  /** Returns whether the incarnation's row is written, so that it may serve requests. */
  public boolean registered() {
    return registered;
  }

  /**
   * Adds to a counter.
   *
   * @return the sequence number of the record
   * @throws IllegalStateException if the incarnation is not registered or is ending
   */
  public long record(long epochMillis, UsageKey key, UsageAmounts amounts) {
    checkState(registered, "incarnation %s is not registered", incarnation);
    checkState(!ending, "incarnation %s is ending", incarnation);
    return ledger.record(epochMillis, key, amounts);
  }

  /** Requests an immediate write, for records that no peer could copy. */
  public void requestFlush() {
    flushRequested = true;
  }

  /** Starts sealing every window; {@link #record} fails from now on. */
  public void end() {
    ending = true;
    flushRequested = true;
  }

  /** Returns whether every window is sealed after {@link #end}. */
  public boolean ended() {
    return ended;
  }

  /** Returns the next transaction, if one is due. */
  public Optional<StoreCommit> poll(long nowMillis, long epochMillis) {
    if (!registered) {
      return register(nowMillis);
    }
    if (!flushing) {
      startFlushIfDue(nowMillis, epochMillis);
    }
    if (flushing && runner.isIdle()) {
      startNextWrite();
    }
    return runner.poll(nowMillis);
  }

  /** Handles the result of a commit. */
  public void onCommit(long operation, CommitResult result) {
    if (!registered) {
      // A conflict means that an earlier attempt succeeded: only this incarnation writes the row.
      registered = registration.accept(operation);
      return;
    }
    runner.onCommit(operation, result).ifPresent(this::finish);
  }

  /** Handles a commit whose outcome is unknown or that was rejected temporarily. */
  public void onFailure(long operation, long nowMillis, long retryAfterMillis) {
    if (registered) {
      runner.onFailure(operation, nowMillis, retryAfterMillis);
    } else {
      registration.fail(operation, nowMillis, retryAfterMillis);
    }
  }

  private Optional<StoreCommit> register(long nowMillis) {
    registration.expire(nowMillis);
    if (!registration.ready(nowMillis)) {
      return Optional.empty();
    }
    Transaction transaction =
        Transaction.builder()
            .requireAbsent(UsageTables.incarnation(incarnation))
            .put(
                UsageTables.incarnation(incarnation),
                nextIncarnationRow(sealedBeforeMillis).toJson())
            .put(UsageTables.registrations(), JsonNodeFactory.instance.textNode(incarnation))
            .build();
    return Optional.of(new StoreCommit(registration.begin(nowMillis), transaction));
  }

  private void startFlushIfDue(long nowMillis, long epochMillis) {
    ledger.closeBefore(settings.windowStartMillis(epochMillis - settings.sealDelayMillis()));
    boolean sealable = sealedBeforeMillis < ledger.openWindowMillis();
    boolean due = nowMillis >= nextFlushMillis || flushRequested;
    if (ended || !(due || sealable)) {
      return;
    }
    if (ending) {
      ledger.closeBefore(ledger.openWindowMillis() + settings.windowMillis());
    }
    flushing = true;
    flushRequested = false;
    nextFlushMillis = nowMillis + settings.flushMillis();
    flushSequence = ledger.lastSequence();
    windowsToFlush.addAll(ledger.windows());
  }

  private void startNextWrite() {
    if (windowsToFlush.isEmpty()) {
      runner.start(heartbeat());
      return;
    }
    long windowMillis = windowsToFlush.peek();
    boolean seal = windowMillis < ledger.openWindowMillis();
    long sealedMillis = seal ? nextUnsealedMillis(windowMillis) : windowMillis;
    runner.start(
        UsageFlush.byOwner(
            incarnation,
            windowMillis,
            ledger.totals(windowMillis),
            seal,
            ledger.lastSequence(),
            nextIncarnationRow(sealedMillis),
            rowVersions.getOrDefault(windowMillis, Transaction.ABSENT)));
  }

  private UsageFlush heartbeat() {
    return UsageFlush.byOwner(
        incarnation,
        ledger.openWindowMillis(),
        UsageTotals.EMPTY,
        false,
        flushSequence,
        nextIncarnationRow(nextUnsealedMillis(Long.MIN_VALUE)),
        Transaction.ABSENT);
  }

  private long nextUnsealedMillis(long windowMillis) {
    Long next = ledger.windows().higher(windowMillis);
    if (next != null) {
      return next;
    }
    return ending ? IncarnationRow.ENDED : ledger.openWindowMillis();
  }

  private IncarnationRow nextIncarnationRow(long sealedMillis) {
    writes++;
    return new IncarnationRow(sealedMillis, writes);
  }

  private void finish(FlushRunner.CompletedFlush completed) {
    UsageFlush flush = completed.flush();
    sealedBeforeMillis = flush.owner().orElseThrow().sealedBeforeMillis();
    if (flush.seal()) {
      rowVersions.remove(flush.windowStartMillis());
      ledger.forget(flush.windowStartMillis());
    } else if (completed.rowVersion() != Transaction.ABSENT) {
      rowVersions.put(flush.windowStartMillis(), completed.rowVersion());
    }
    windowsToFlush.poll();
    if (windowsToFlush.isEmpty()) {
      endFlush();
    }
  }

  private void endFlush() {
    flushing = false;
    sender.onFlushed(flushSequence);
    ended = sealedBeforeMillis == IncarnationRow.ENDED;
  }

  /** Returns the start times of windows whose counters are not sealed yet, for logs and tests. */
  public ImmutableList<Long> openWindows() {
    return ledger.windows().asList();
  }
}
