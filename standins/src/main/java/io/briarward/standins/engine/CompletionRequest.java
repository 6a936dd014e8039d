package io.briarward.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A request for a completion.
 *
 * @param id the request id that the caller chose
 * @param prompt the text to continue
 * @param seed selects one of the possible completions of the prompt
 * @param maxTokens the maximum length of the completion, including the resumed tokens
 * @param resumedTokens how many tokens another engine generated before; these are skipped
 * @param priority the scheduling priority; lower values are scheduled first
 * @param stream whether the response is streamed
 */
record CompletionRequest(
    String id,
    String prompt,
    long seed,
    int maxTokens,
    int resumedTokens,
    int priority,
    boolean stream) {
  private static final int DEFAULT_MAX_TOKENS = 16;

  CompletionRequest {
    checkArgument(maxTokens >= 0, "max_tokens is %s, expected >= 0", maxTokens);
    checkArgument(resumedTokens >= 0, "resume_tokens is %s, expected >= 0", resumedTokens);
  }

  /**
   * Parses the body of a request.
   *
   * @throws IllegalArgumentException if a field is missing or invalid
   */
  static CompletionRequest parse(String id, JsonNode body) {
    checkArgument(body.path("prompt").isTextual(), "prompt is missing or not a string");
    String resumeText = body.path("resume_text").asText("");
    int resumedByText = resumeText.length() / CompletionText.CHARS_PER_TOKEN;
    return new CompletionRequest(
        id,
        body.path("prompt").asText(),
        body.path("seed").asLong(0),
        body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS),
        body.path("resume_tokens").asInt(resumedByText),
        body.path("priority").asInt(0),
        body.path("stream").asBoolean(false));
  }

  /**
   * Returns the position after the last token of the completion, but at least {@code
   * resumedTokens}.
   */
  int endToken() {
    int end = Math.min(maxTokens, CompletionText.tokensUntilStop(prompt, seed));
    return Math.max(end, resumedTokens);
  }

  /** Returns why the completion ends at {@link #endToken}. */
  FinishReason finishReason() {
    boolean stops = CompletionText.tokensUntilStop(prompt, seed) <= maxTokens;
    return stops ? FinishReason.STOP : FinishReason.LENGTH;
  }
}
