package io.briarward.node.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * A chunk of a streamed completion.
 *
 * @param text the generated text
 * @param tokens the number of tokens in {@code text}
 * @param weightVersion the weight version that generated it, as the sampler reported it
 * @param finishReason present in the last chunk only
 */
record CompletionChunk(String text, int tokens, long weightVersion, Optional<String> finishReason) {
  CompletionChunk {
    checkNotNull(text, "text");
    checkArgument(tokens >= 0, "tokens is %s, expected >= 0", tokens);
    checkArgument(weightVersion >= 0, "weightVersion is %s, expected >= 0", weightVersion);
    checkNotNull(finishReason, "finishReason");
  }
}
