package io.briarward.experiments.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * Model engines with a batch and a bounded prefix cache each, in virtual time.
 *
 * <p>A request waits for a slot in the batch, spends its prefill time unless the prefix is cached,
 * and then decodes for a fixed time.
 */
final class FakeEngines {
  private final List<Engine> engines = new ArrayList<>();
  private final PriorityQueue<Completion> completions =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
  private final int slots;
  private final int cachedPrefixes;

  FakeEngines(int count, int slots, int cachedPrefixes) {
    this.slots = slots;
    this.cachedPrefixes = cachedPrefixes;
    for (int i = 0; i < count; i++) {
      engines.add(new Engine());
    }
  }

  /** A request; {@code done} receives the virtual time of its completion in milliseconds. */
  record Work(long prefix, long prefillMillis, long decodeMillis, LongConsumer done) {}

  private record Completion(long atMillis, Engine engine, Work work) {}

  private static final class Engine {
    private final Deque<Work> queue = new ArrayDeque<>();
    private final Set<Long> prefixes = new LinkedHashSet<>();
    private int running;
    private int maxOutstanding;
    private long prefillMillis;
  }

  void submit(int engineIndex, Work work, long nowMillis) {
    Engine engine = engines.get(engineIndex);
    engine.queue.add(work);
    engine.maxOutstanding = Math.max(engine.maxOutstanding, outstanding(engineIndex));
    startNext(engine, nowMillis);
  }

  /** Completes all requests that end at or before the given time. */
  void advanceTo(long nowMillis) {
    while (!completions.isEmpty() && completions.peek().atMillis <= nowMillis) {
      Completion completion = completions.poll();
      completion.engine.running--;
      startNext(completion.engine, completion.atMillis);
      completion.work.done.accept(completion.atMillis);
    }
  }

  int count() {
    return engines.size();
  }

  int slots() {
    return slots;
  }

  int running(int engineIndex) {
    return engines.get(engineIndex).running;
  }

  int queued(int engineIndex) {
    return engines.get(engineIndex).queue.size();
  }

  int outstanding(int engineIndex) {
    return running(engineIndex) + queued(engineIndex);
  }

  /** Returns the largest number of outstanding requests that any engine had at once. */
  int maxOutstanding() {
    return engines.stream().mapToInt(engine -> engine.maxOutstanding).max().orElse(0);
  }

  /** Returns the total prefill time of all engines. */
  long prefillMillis() {
    return engines.stream().mapToLong(engine -> engine.prefillMillis).sum();
  }

  private void startNext(Engine engine, long nowMillis) {
    while (engine.running < slots && !engine.queue.isEmpty()) {
      Work work = engine.queue.remove();
      engine.running++;
      long prefillMillis = lookUpPrefix(engine, work.prefix) ? 0 : work.prefillMillis;
      engine.prefillMillis += prefillMillis;
      long endMillis = nowMillis + prefillMillis + work.decodeMillis;
      completions.add(new Completion(endMillis, engine, work));
    }
  }

  /** Returns whether the prefix was cached; caches it, evicting the least recently used if full. */
  private boolean lookUpPrefix(Engine engine, long prefix) {
    boolean cached = engine.prefixes.remove(prefix);
    engine.prefixes.add(prefix);
    if (engine.prefixes.size() > cachedPrefixes) {
      engine.prefixes.remove(engine.prefixes.iterator().next());
    }
    return cached;
  }
}
