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
 * Generates the tokens of many completions step by step, a limited number of completions at once.
 *
 * <p>Each step generates one token for every running completion whose prompt is prefilled, and
 * takes longer the more of them run. A waiting completion enters as soon as another one ends. It
 * has no I/O and no clock. Not thread-safe.
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

  /** Queues a completion behind those of the same priority. */
  void add(Generation generation) {
    waiting.add(generation);
    waiting.sort(BY_PRIORITY);
  }

  /** Lets the next completion with this request id skip its prefill. */
  void importKv(String requestId) {
    importedKv.add(requestId);
  }

  /** Forgets every prompt prefix and imported KV cache. */
  void clearCache() {
    cache.clear();
    importedKv.clear();
  }

  /** Removes the completions that match, and returns them. */
  ImmutableList<Generation> removeIf(Predicate<Generation> matches) {
    ImmutableList.Builder<Generation> removed = ImmutableList.builder();
    for (List<Generation> list : ImmutableList.of(waiting, running)) {
      list.stream().filter(matches).forEach(removed::add);
      list.removeIf(matches);
    }
    return removed.build();
  }

  /** Starts waiting completions while there is room. */
  void admit(long nowMicros) {
    Iterator<Generation> first = waiting.iterator();
    while (first.hasNext() && running.size() < settings.batchLimit()) {
      Generation generation = first.next();
      boolean fits = kvTokens() + generation.kvTokens() <= settings.kvLimitTokens();
      if (!fits && !running.isEmpty()) {
        return;
      }
      first.remove();
      prefill(generation, nowMicros);
      running.add(generation);
    }
  }

  /** Generates one token for each running completion that is prefilled, and ends the whole ones. */
  ImmutableList<Emission> step(long nowMicros, long weightVersion) {
    ImmutableList.Builder<Emission> emissions = ImmutableList.builder();
    for (Generation generation : running) {
      if (generation.finished()) {
        emissions.add(new Emission(generation, "", 0, weightVersion));
      } else if (generation.prefilled(nowMicros)) {
        String text = generation.generate(weightVersion);
        emissions.add(new Emission(generation, text, 1, weightVersion));
      }
    }
    running.removeIf(Generation::finished);
    return emissions.build();
  }

  /** Returns how long the next step takes. */
  long stepMicros() {
    return settings.stepBaseMicros() + settings.stepPerSequenceMicros() * running.size();
  }

  /** Returns the running completions. */
  ImmutableList<Generation> running() {
    return ImmutableList.copyOf(running);
  }

  int waitingCount() {
    return waiting.size();
  }

  boolean idle() {
    return running.isEmpty() && waiting.isEmpty();
  }

  /** Returns the tokens that running completions hold or will hold. */
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
    generation.admit(cached, nowMicros + uncached * settings.prefillMicrosPerToken());
  }
}
