package io.briarward.standins.engine;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An LRU cache of prompt prefixes with a capacity in tokens.
 *
 * <p>Does no I/O. Not thread-safe.
 */
final class PrefixCache {
  private static final int PREFIX_CHARS = 256;
  private static final float LOAD_FACTOR = 0.75f;

  private final long limitTokens;
  private final Map<String, Integer> tokensByHash = new LinkedHashMap<>(16, LOAD_FACTOR, true);
  private long heldTokens;

  /**
   * The outcome of a lookup.
   *
   * @param cachedTokens the number of the prompt's tokens that were cached
   * @param stored the hashes of the prefixes that were added
   * @param evicted the hashes of the prefixes that were evicted
   */
  record Use(int cachedTokens, ImmutableList<String> stored, ImmutableList<String> evicted) {}

  PrefixCache(long limitTokens) {
    this.limitTokens = limitTokens;
  }

  /** Returns the hash of a prompt's prefix as 16 hexadecimal digits. */
  static String prefixHash(String prompt) {
    String prefix = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
    long hash = Hashing.farmHashFingerprint64().hashString(prefix, StandardCharsets.UTF_8).asLong();
    return String.format("%016x", hash);
  }

  /** Looks up the prompt's prefix, and stores it if it is absent and fits the capacity. */
  Use use(String prompt) {
    String hash = prefixHash(prompt);
    Integer cached = tokensByHash.get(hash);
    if (cached != null) {
      return new Use(cached, ImmutableList.of(), ImmutableList.of());
    }
    int chars = Math.min(PREFIX_CHARS, prompt.length());
    int tokens = CompletionText.promptTokens(prompt.substring(0, chars));
    if (tokens > limitTokens) {
      return new Use(0, ImmutableList.of(), ImmutableList.of());
    }
    tokensByHash.put(hash, tokens);
    heldTokens += tokens;
    return new Use(0, ImmutableList.of(hash), evictOldest());
  }

  /** Removes every prefix, as a restart does. */
  void clear() {
    tokensByHash.clear();
    heldTokens = 0;
  }

  private ImmutableList<String> evictOldest() {
    ImmutableList.Builder<String> evicted = ImmutableList.builder();
    Iterator<Map.Entry<String, Integer>> oldestFirst = tokensByHash.entrySet().iterator();
    while (heldTokens > limitTokens) {
      Map.Entry<String, Integer> oldest = oldestFirst.next();
      evicted.add(oldest.getKey());
      heldTokens -= oldest.getValue();
      oldestFirst.remove();
    }
    return evicted.build();
  }
}
