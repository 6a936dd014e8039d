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
 * A table service in virtual time that delays, reorders, repeats and loses requests and answers.
 *
 * <p>The caller advances the time with {@link #advanceTo}.
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

  /** Returns the rows. */
  public TableState state() {
    return state;
  }

  /** Returns how many operations were asked for. */
  public long operations() {
    return operations;
  }

  /** Sets whether requests are dropped on arrival. */
  public void setOut(boolean out) {
    this.out = out;
  }

  /** Sets the probability with which a request, and with which an answer, is lost. */
  public void setLoss(double loss) {
    this.loss = loss;
  }

  /** Commits after a delay; {@code cut} is looked at on arrival. */
  public void commit(Transaction transaction, Supplier<Cut> cut, Consumer<CommitResult> answer) {
    send(cut, () -> state.commit(transaction), answer);
    if (random.nextDouble() < loss) {
      // A repeated delivery, whose answer is dropped.
      send(cut, () -> state.commit(transaction), unused -> {});
    }
  }

  /** Reads after a delay. */
  public void read(RowKey key, Supplier<Cut> cut, Consumer<Optional<Row>> answer) {
    send(cut, () -> state.read(key), answer);
  }

  /** Reads all rows with a prefix after a delay. */
  public void scan(
      String table, String prefix, Supplier<Cut> cut, Consumer<ImmutableList<Row>> answer) {
    send(cut, () -> state.scan(table, prefix, "", Integer.MAX_VALUE), answer);
  }

  /** Runs everything that is due up to the given time. */
  public void advanceTo(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
    nowMillis = untilMillis;
  }

  /** Runs an action after a random delay. */
  public void later(long maxDelayMillis, Runnable action) {
    after(1 + (long) (random.nextDouble() * maxDelayMillis), action);
  }

  /** Runs an action after a delay. */
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

  /** Which directions between a client and the table are cut. */
  public record Cut(boolean requests, boolean answers) {
    /** No direction. */
    public static final Cut NONE = new Cut(false, false);
  }
}
