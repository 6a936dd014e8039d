package io.briarward.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Computes the text that a stand-in engine generates from the prompt, the seed and the position.
 *
 * <p>The text is deterministic, so that callers can verify that a response is complete and belongs
 * to their own request. Example: {@code CompletionText.text(prompt, seed, maxTokens)}.
 */
public final class CompletionText {
  /** The number of characters per generated token. */
  public static final int CHARS_PER_TOKEN = 5;

  private static final HashFunction HASH = Hashing.farmHashFingerprint64();
  private static final int CHARS_PER_PROMPT_TOKEN = 4;
  private static final int MIN_TOKENS = 8;
  private static final int TYPICAL_RANGE_TOKENS = 48;
  private static final int LONG_EXTRA_TOKENS = 480;
  private static final int COMPLETIONS_PER_LONG_ONE = 16;

  private CompletionText() {}

  /**
   * Returns the token at a position.
   *
   * @param index the position, starting at 0
   */
  public static String token(String prompt, long seed, int index) {
    checkArgument(index >= 0, "index is %s, expected >= 0", index);
    long hash = hash(prompt, seed, index);
    return String.format(" %04x", hash & 0xffff);
  }

  /** Returns the tokens from {@code start}, inclusive, to {@code end}, exclusive. */
  public static String text(String prompt, long seed, int start, int end) {
    StringBuilder text = new StringBuilder();
    for (int index = start; index < end; index++) {
      text.append(token(prompt, seed, index));
    }
    return text.toString();
  }

  /** Returns the text of a completion that is limited to {@code maxTokens} tokens. */
  public static String text(String prompt, long seed, int maxTokens) {
    return text(prompt, seed, 0, Math.min(maxTokens, tokensUntilStop(prompt, seed)));
  }

  /**
   * Returns the number of tokens after which the model stops if there is no token limit.
   *
   * <p>A small share of completions is much longer than the others.
   */
  public static int tokensUntilStop(String prompt, long seed) {
    long hash = hash(prompt, seed, -1);
    int typical = MIN_TOKENS + (int) Long.remainderUnsigned(hash, TYPICAL_RANGE_TOKENS);
    boolean isLong = Long.remainderUnsigned(hash >>> Integer.SIZE, COMPLETIONS_PER_LONG_ONE) == 0;
    return isLong ? typical + LONG_EXTRA_TOKENS : typical;
  }

  /** Returns the number of tokens in a prompt. */
  public static int promptTokens(String prompt) {
    return (prompt.length() + CHARS_PER_PROMPT_TOKEN - 1) / CHARS_PER_PROMPT_TOKEN;
  }

  private static long hash(String prompt, long seed, int index) {
    return HASH.newHasher()
        .putString(prompt, StandardCharsets.UTF_8)
        .putLong(seed)
        .putInt(index)
        .hash()
        .asLong();
  }
}
