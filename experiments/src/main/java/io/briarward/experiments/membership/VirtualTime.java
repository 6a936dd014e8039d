package io.briarward.experiments.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.PriorityQueue;

/** A virtual clock that runs scheduled tasks as it advances. Not thread-safe. */
final class VirtualTime {
  private record Task(long atMillis, long order, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      return atMillis != other.atMillis
          ? Long.compare(atMillis, other.atMillis)
          : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long nowMillis;
  private long lastOrder;

  long nowMillis() {
    return nowMillis;
  }

  void schedule(long delayMillis, Runnable action) {
    checkArgument(delayMillis >= 0, "delayMillis is %s, expected >= 0", delayMillis);
    tasks.add(new Task(nowMillis + delayMillis, ++lastOrder, action));
  }

  void advanceTo(long targetMillis) {
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= targetMillis) {
      Task task = tasks.poll();
      nowMillis = task.atMillis();
      task.action().run();
    }
    nowMillis = targetMillis;
  }
}
