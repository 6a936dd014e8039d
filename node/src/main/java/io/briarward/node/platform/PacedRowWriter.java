package io.briarward.node.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import io.briarward.node.telemetry.EventLog;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Writes rows of one table in transactions that follow each other at an interval.
 *
 * <p>Rows that a failed transaction was to write are written again. The first row after a pause is
 * written at once. Confined to the event loop.
 *
 * @param <T> the type of a row before it is encoded
 */
public final class PacedRowWriter<T> implements AutoCloseable {
  private static final long WRITE_TIMEOUT_MILLIS = 1_000;
  private static final long RETRY_DELAY_MILLIS = 200;

  private final TableService tables;
  private final Scheduler scheduler;
  private final EventLog log;
  private final Settings settings;
  private final LongSupplier intervalMillis;
  private final BooleanSupplier canEncode;
  private final Function<T, JsonNode> encoder;
  private final Map<RowKey, Optional<T>> pending = new LinkedHashMap<>();
  private Disposable nextWrite = Disposable.disposed();
  private boolean writePending;
  private long nextWriteMillis = Long.MIN_VALUE / 2;

  /**
   * Properties of a writer.
   *
   * @param failureEvent the log event of a transaction that failed
   * @param maxRowsPerWrite the maximum number of rows in one transaction
   */
  public record Settings(String failureEvent, int maxRowsPerWrite) {
    /** Validates the components. */
    public Settings {
      checkNotNull(failureEvent, "failureEvent");
      checkArgument(maxRowsPerWrite > 0, "maxRowsPerWrite is %s, expected > 0", maxRowsPerWrite);
    }
  }

  /**
   * Creates a writer without rows.
   *
   * @param intervalMillis returns the time between two transactions, in milliseconds
   * @param canEncode returns whether rows can be encoded yet; they wait otherwise
   * @param encoder encodes a row when it is sent
   */
  public PacedRowWriter(
      TableService tables,
      Scheduler scheduler,
      EventLog log,
      Settings settings,
      LongSupplier intervalMillis,
      BooleanSupplier canEncode,
      Function<T, JsonNode> encoder) {
    this.tables = checkNotNull(tables, "tables");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.settings = checkNotNull(settings, "settings");
    this.intervalMillis = checkNotNull(intervalMillis, "intervalMillis");
    this.canEncode = checkNotNull(canEncode, "canEncode");
    this.encoder = checkNotNull(encoder, "encoder");
  }

  /** Writes a row soon; replaces what waits to be written or deleted under its key. */
  public void put(RowKey key, T row) {
    enqueue(key, Optional.of(row));
  }

  /** Deletes a row soon. */
  public void delete(RowKey key) {
    enqueue(key, Optional.empty());
  }

  /** Returns the number of rows that wait to be written or deleted. */
  public int pendingRows() {
    return pending.size();
  }

  /** Returns the rows that wait to be written. */
  public ImmutableList<T> pendingPuts() {
    return pending.values().stream()
        .flatMap(Optional::stream)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns whether a row with the given key waits to be written. */
  public boolean isPut(RowKey key) {
    return pending.getOrDefault(key, Optional.empty()).isPresent();
  }

  @Override
  public void close() {
    nextWrite.dispose();
  }

  private void enqueue(RowKey key, Optional<T> row) {
    pending.put(key, row);
    scheduleWrite();
  }

  private void scheduleWrite() {
    if (writePending || pending.isEmpty()) {
      return;
    }
    writePending = true;
    nextWrite =
        scheduler.scheduleDirect(
            this::write, Math.max(0, nextWriteMillis - nowMillis()), TimeUnit.MILLISECONDS);
  }

  private void onWriteEnded(long delayMillis) {
    writePending = false;
    nextWriteMillis = nowMillis() + delayMillis;
    scheduleWrite();
  }

  private void write() {
    if (!canEncode.getAsBoolean()) {
      onWriteEnded(RETRY_DELAY_MILLIS);
      return;
    }
    Map<RowKey, Optional<T>> rows = new LinkedHashMap<>();
    pending.entrySet().stream()
        .limit(settings.maxRowsPerWrite())
        .forEach(entry -> rows.put(entry.getKey(), entry.getValue()));
    Transaction.Builder transaction = Transaction.builder();
    rows.forEach(
        (key, row) ->
            row.ifPresentOrElse(
                each -> transaction.put(key, encoder.apply(each)), () -> transaction.delete(key)));
    var unused =
        tables
            .commit(transaction.build())
            .timeout(WRITE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
            .observeOn(scheduler)
            .subscribe(
                result -> {
                  rows.forEach(pending::remove);
                  onWriteEnded(intervalMillis.getAsLong());
                },
                error -> {
                  log.warn(
                      settings.failureEvent(),
                      "rows",
                      rows.size(),
                      "pendingRows",
                      pending.size(),
                      "cause",
                      error.toString());
                  onWriteEnded(RETRY_DELAY_MILLIS);
                });
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
