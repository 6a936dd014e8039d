package io.briarward.standins.engine;

import com.google.common.collect.EvictingQueue;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Generates the tokens of concurrent completions by continuous batching.
 *
 * <p>Each step generates one token for every running completion whose prefill has finished. The
 * duration of a step grows with the number of running completions. A waiting completion joins the
 * batch as soon as the batch limit and the KV cache limit allow. Does no I/O and reads no clock.
 * Not thread-safe.
 */
final class ContinuousBatch {
  private static final Comparator<Generation> BY_PRIORITY =
      Comparator.comparingInt(generation -> generation.request().priority());

  private static final int MAX_IMPORTED = 256;

  private final EngineSettings settings;
  private final PrefixCache cache;
  private final Consumer<PrefixCache.Use> onCacheUse;
  private final List<Generation> waiting = new ArrayList<>();
  private final List<Generation> running = new ArrayList<>();
  private final EvictingQueue<String> importedKv = EvictingQueue.create(MAX_IMPORTED);

  ContinuousBatch(EngineSettings settings, Consumer<PrefixCache.Use> onCacheUse) {
    this.settings = settings;
    this.cache = new PrefixCache(settings.prefixCacheTokens());
    this.onCacheUse = onCacheUse;
  }

  /** Enqueues a completion behind those of the same priority. */
  void add(Generation generation) {
    waiting.add(generation);
    waiting.sort(BY_PRIORITY);
  }

  /** Makes the next completion with this request id skip its prefill. */
  void importKv(String requestId) {
    importedKv.add(requestId);
  }

  /** Clears the prefix cache and the imported KV caches. */
  void clearCache() {
    cache.clear();
    importedKv.clear();
  }

  /** Removes and returns the matching completions, waiting or running. */
  ImmutableList<Generation> removeIf(Predicate<Generation> matches) {
    ImmutableList.Builder<Generation> removed = ImmutableList.builder();
    for (List<Generation> list : ImmutableList.of(waiting, running)) {
      list.stream().filter(matches).forEach(removed::add);
      list.removeIf(matches);
    }
    return removed.build();
  }

  /**
   * Moves waiting completions into the batch while they fit its limits.
   *
   * <p>An empty batch admits a completion that alone exceeds the KV cache limit, which would
   * otherwise wait forever.
   */
  void admit(long nowMicros) {
    Iterator<Generation> queue = waiting.iterator();
    while (queue.hasNext() && running.size() < settings.batchLimit()) {
      Generation generation = queue.next();
      boolean fits = kvTokens() + generation.kvTokens() <= settings.kvLimitTokens();
      if (!fits && !running.isEmpty()) {
        return;
      }
      queue.remove();
      prefill(generation, nowMicros);
      running.add(generation);
    }
  }

  /** Generates one token per prefilled completion, and removes the finished ones from the batch. */
  ImmutableList<StepOutput> step(long nowMicros, long weightVersion) {
    ImmutableList.Builder<StepOutput> outputs = ImmutableList.builder();
    for (Generation generation : running) {
      if (generation.isFinished()) {
        outputs.add(new StepOutput(generation, "", 0, weightVersion));
      } else if (generation.isPrefilled(nowMicros)) {
        String text = generation.generate(weightVersion);
        outputs.add(new StepOutput(generation, text, 1, weightVersion));
      }
    }
    running.removeIf(Generation::isFinished);
    return outputs.build();
  }

  /** Returns the duration of the next step. */
  long stepMicros() {
    return settings.stepBaseMicros() + settings.stepPerSequenceMicros() * running.size();
  }

  ImmutableList<Generation> running() {
    return ImmutableList.copyOf(running);
  }

  int waitingCount() {
    return waiting.size();
  }

  boolean isIdle() {
    return running.isEmpty() && waiting.isEmpty();
  }

  /** Returns the KV cache tokens reserved for the running completions until they finish. */
  long kvTokens() {
    return running.stream().mapToLong(Generation::kvTokens).sum();
  }

  private void prefill(Generation generation, long nowMicros) {
    CompletionRequest request = generation.request();
    PrefixCache.Use use = cache.use(request.prompt());
    onCacheUse.accept(use);
    int promptTokens = CompletionText.promptTokens(request.prompt());
    boolean imported = importedKv.remove(request.id());
    int cached = imported ? promptTokens : Math.min(use.cachedTokens(), promptTokens);
    int resumed = imported ? 0 : request.resumedTokens();
    long uncached = promptTokens - cached + (long) resumed;
    generation.startPrefill(cached, nowMicros + uncached * settings.prefillMicrosPerToken());
  }
}
