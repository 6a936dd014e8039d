package io.briarward.experiments.control;

import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/** A table service in virtual time that counts operations and bytes and can have outages. */
final class CountingStore {
  private static final long MAX_DELAY_MILLIS = 20;
  private static final int OVERHEAD_BYTES = 400;
  private static final int ROW_BYTES = 60;
  private static final int PAGE_ROWS = 500;

  private final TableState state = TableState.create();
  private final VirtualTime time;
  private final Random random;
  private boolean unavailable;
  private long reads;
  private long writes;
  private long bytes;

  CountingStore(VirtualTime time, Random random) {
    this.time = time;
    this.random = random;
  }

  long reads() {
    return reads;
  }

  long writes() {
    return writes;
  }

  long bytes() {
    return bytes;
  }

  TableState state() {
    return state;
  }

  void setUnavailable(boolean unavailable) {
    this.unavailable = unavailable;
  }

  void commit(Transaction transaction, Consumer<CommitResult> answer) {
    writes++;
    bytes += OVERHEAD_BYTES;
    for (Transaction.Write write : transaction.writes()) {
      bytes += ROW_BYTES + write.value().map(value -> value.toString().length()).orElse(0);
    }
    respond(() -> state.commit(transaction), answer);
  }

  void read(RowKey key, Consumer<Optional<Row>> answer) {
    reads++;
    bytes += OVERHEAD_BYTES;
    respond(() -> state.read(key), answer);
    state.read(key).ifPresent(row -> bytes += row.value().toString().length());
  }

  void scan(String table, String prefix, Consumer<ImmutableList<Row>> answer) {
    respond(
        () -> {
          ImmutableList<Row> rows = state.scan(table, prefix, "", Integer.MAX_VALUE);
          reads += 1 + rows.size() / PAGE_ROWS;
          bytes += OVERHEAD_BYTES * (1L + rows.size() / PAGE_ROWS);
          rows.forEach(row -> bytes += ROW_BYTES + row.value().toString().length());
          return rows;
        },
        answer);
  }

  private <T> void respond(java.util.function.Supplier<T> operation, Consumer<T> answer) {
    time.after(
        delayMillis(),
        () -> {
          if (!unavailable) {
            T result = operation.get();
            time.after(delayMillis(), () -> answer.accept(result));
          }
        });
  }

  private long delayMillis() {
    return 1 + (long) (random.nextDouble() * MAX_DELAY_MILLIS);
  }
}
