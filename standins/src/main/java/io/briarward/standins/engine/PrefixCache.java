package io.briarward.standins.engine;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Keeps the prompt prefixes used most recently, up to a number of tokens. Without I/O. */
final class PrefixCache {
  private static final int PREFIX_CHARS = 256;
  private static final float LOAD_FACTOR = 0.75f;

  private final long limitTokens;
  private final Map<String, Integer> tokensByHash = new LinkedHashMap<>(16, LOAD_FACTOR, true);
  private long heldTokens;

  /**
   * The outcome of using a prompt.
   *
   * @param cachedTokens how many of its tokens were in the cache
   * @param stored the hashes that entered the cache
   * @param evicted the hashes that left it
   */
  record Use(int cachedTokens, ImmutableList<String> stored, ImmutableList<String> evicted) {}

  PrefixCache(long limitTokens) {
    this.limitTokens = limitTokens;
  }

  /** Returns the hash of a prompt's prefix, in 16 hexadecimal digits. */
  static String prefixHash(String prompt) {
    String prefix = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
    long hash = Hashing.farmHashFingerprint64().hashString(prefix, StandardCharsets.UTF_8).asLong();
    return String.format("%016x", hash);
  }

  /** Looks the prompt's prefix up, and stores it when it is missing. */
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

  /** Drops every prefix, as a restart does. */
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
