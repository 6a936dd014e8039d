package io.briarward.experiments.membership;

import com.google.common.collect.ImmutableList;
import io.briarward.core.distribution.StoreLayout;
import io.briarward.core.distribution.StoreRead;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/** A table service with delays, outages, unreachable VMs and lost answers. Not thread-safe. */
final class VirtualStore {
  private static final int MIN_DELAY_MILLIS = 1;
  private static final int MAX_DELAY_MILLIS = 20;

  private final VirtualTime time;
  private final Random random;
  private final TableState state = TableState.create();
  private final Set<String> cutOffVms = new HashSet<>();
  private boolean down;
  private double lostAnswerShare;
  private long reads;
  private long readBytes;

  VirtualStore(VirtualTime time, Random random) {
    this.time = time;
    this.random = random;
  }

  void setDown(boolean isDown) {
    down = isDown;
  }

  void setCutOff(String vmId, boolean isCutOff) {
    if (isCutOff) {
      cutOffVms.add(vmId);
    } else {
      cutOffVms.remove(vmId);
    }
  }

  void setLostAnswerShare(double share) {
    lostAnswerShare = share;
  }

  long reads() {
    return reads;
  }

  long readBytes() {
    return readBytes;
  }

  /**
   * Reads for a VM; {@code onAnswer} receives empty if the store is unreachable or the answer lost.
   */
  void read(String vmId, StoreRead read, Consumer<Optional<ImmutableList<Row>>> onAnswer) {
    reads++;
    call(vmId, () -> count(rows(read)), onAnswer);
  }

  /** Commits for a VM; {@code onAnswer} receives empty as for {@link #read}. */
  void commit(String vmId, Transaction transaction, Consumer<Optional<CommitResult>> onAnswer) {
    call(vmId, () -> state.commit(transaction), onAnswer);
  }

  /** Reads one row for a VM; {@code onAnswer} receives empty as for {@link #read}. */
  void readRow(
      String vmId,
      io.briarward.core.platform.RowKey key,
      Consumer<Optional<Optional<Row>>> onAnswer) {
    reads++;
    call(vmId, () -> state.read(key), onAnswer);
  }

  private <T> void call(
      String vmId, java.util.function.Supplier<T> operation, Consumer<Optional<T>> onAnswer) {
    time.schedule(
        delayMillis(),
        () -> {
          Optional<T> answer = reachable(vmId) ? Optional.of(operation.get()) : Optional.empty();
          boolean lost = !reachable(vmId) || random.nextDouble() < lostAnswerShare;
          time.schedule(delayMillis(), () -> onAnswer.accept(lost ? Optional.empty() : answer));
        });
  }

  private ImmutableList<Row> rows(StoreRead read) {
    return switch (read.kind()) {
      case HEAD -> state.read(StoreLayout.HEAD).stream().collect(ImmutableList.toImmutableList());
      case LOG ->
          state.scan(
              StoreLayout.LOG_TABLE, "", StoreLayout.key(read.version()), StoreRead.MAX_LOG_ROWS);
      case SNAPSHOT ->
          state.read(StoreLayout.snapshotRow(read.version())).stream()
              .collect(ImmutableList.toImmutableList());
    };
  }

  private ImmutableList<Row> count(ImmutableList<Row> rows) {
    rows.forEach(row -> readBytes += row.value().toString().length());
    return rows;
  }

  private boolean reachable(String vmId) {
    return !down && !cutOffVms.contains(vmId);
  }

  private long delayMillis() {
    return random.nextLong(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS);
  }
}
