package io.briarward.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class PrefixCacheTest {
  private static final int LIMIT_TOKENS = 4;

  private final PrefixCache cache = new PrefixCache(LIMIT_TOKENS);

  @Test
  void repeatedPromptIsCached() {
    cache.use("abcdefgh");

    assertThat(cache.use("abcdefgh").cachedTokens()).isEqualTo(2);
  }

  @Test
  void leastRecentlyUsedPromptIsEvicted() {
    cache.use("first__.");
    cache.use("second_.");
    cache.use("first__.");

    PrefixCache.Use third = cache.use("third__.");

    assertThat(third.evicted()).containsExactly(PrefixCache.prefixHash("second_."));
  }

  @Test
  void promptsWithTheSamePrefixHaveTheSameHash() {
    String prefix = "p".repeat(256);

    assertThat(PrefixCache.prefixHash(prefix + "a")).isEqualTo(PrefixCache.prefixHash(prefix));
  }
}
