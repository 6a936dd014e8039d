package io.briarward.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A completion to generate.
 *
 * @param id the caller's name for the request
 * @param prompt the text to go on from
 * @param seed selects one of the texts that follow the prompt
 * @param maxTokens the length of the whole text at most, the resumed tokens included
 * @param resumedTokens how many tokens were generated elsewhere and are not generated again
 * @param priority lower goes first
 * @param stream whether the answer is sent in parts
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

  /** Reads the body of a request. */
  static CompletionRequest parse(String id, JsonNode body) {
    checkArgument(body.path("prompt").isTextual(), "prompt is missing, expected a text");
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

  /** Returns the position after the last token of the whole text. */
  int endToken() {
    int end = Math.min(maxTokens, CompletionText.tokensUntilStop(prompt, seed));
    return Math.max(end, resumedTokens);
  }

  /** Returns why the text ends where it does. */
  FinishReason finishReason() {
    boolean stops = CompletionText.tokensUntilStop(prompt, seed) <= maxTokens;
    return stops ? FinishReason.STOP : FinishReason.LENGTH;
  }
}
