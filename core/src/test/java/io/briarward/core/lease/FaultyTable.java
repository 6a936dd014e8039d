package io.briarward.core.lease;

import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A simulated table service that delays, reorders, duplicates and drops requests and responses.
 *
 * <p>Time is virtual; the caller advances it with {@link #advanceTo}.
 */
public final class FaultyTable {
  private static final long MAX_DELAY_MILLIS = 100;

  private final TableState state = TableState.create();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Random random;
  private long nowMillis;
  private long scheduled;
  private long operations;
  private boolean out;
  private double loss;

  /** Creates a table without faults. */
  public FaultyTable(Random random) {
    this.random = random;
  }

  private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** Returns the stored rows, without delays or faults. */
  public TableState state() {
    return state;
  }

  /** Returns the number of operations requested, duplicates included. */
  public long operations() {
    return operations;
  }

  /** Sets whether every request is dropped on arrival. */
  public void setOut(boolean out) {
    this.out = out;
  }

  /** Sets the probability, from 0 to 1, that a request is lost and that a response is lost. */
  public void setLoss(double loss) {
    this.loss = loss;
  }

  /** Commits after a delay. {@code cut} is evaluated when the request or response arrives. */
  public void commit(Transaction transaction, Supplier<Cut> cut, Consumer<CommitResult> answer) {
    send(cut, () -> state.commit(transaction), answer);
    if (random.nextDouble() < loss) {
      // A duplicate delivery, whose response is dropped.
      send(cut, () -> state.commit(transaction), unused -> {});
    }
  }

  /** Reads a row after a delay. */
  public void read(RowKey key, Supplier<Cut> cut, Consumer<Optional<Row>> answer) {
    send(cut, () -> state.read(key), answer);
  }

  /** Reads all rows with a prefix after a delay. */
  public void scan(
      String table, String prefix, Supplier<Cut> cut, Consumer<ImmutableList<Row>> answer) {
    send(cut, () -> state.scan(table, prefix, "", Integer.MAX_VALUE), answer);
  }

  /** Advances the time and runs the actions that are due by then, in order of time. */
  public void advanceTo(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
    nowMillis = untilMillis;
  }

  /** Schedules an action after a random delay. */
  public void later(long maxDelayMillis, Runnable action) {
    after(1 + (long) (random.nextDouble() * maxDelayMillis), action);
  }

  /** Schedules an action after a fixed delay. */
  public void after(long delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, scheduled++, action));
  }

  private <T> void send(Supplier<Cut> cut, Supplier<T> operation, Consumer<T> answer) {
    operations++;
    long maxMillis = random.nextDouble() < loss ? 40 * MAX_DELAY_MILLIS : MAX_DELAY_MILLIS;
    later(
        maxMillis,
        () -> {
          if (out || cut.get().requests() || random.nextDouble() < loss) {
            return;
          }
          T result = operation.get();
          later(
              MAX_DELAY_MILLIS,
              () -> {
                if (!cut.get().answers() && random.nextDouble() >= loss) {
                  answer.accept(result);
                }
              });
        });
  }

  /**
   * The directions in which messages between a client and the table are dropped.
   *
   * @param requests whether requests are dropped
   * @param answers whether responses are dropped
   */
  public record Cut(boolean requests, boolean answers) {
    /** Drops nothing. */
    public static final Cut NONE = new Cut(false, false);
  }
}
