package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * A finished sample.
 *
 * @param id the sample's id, {@code GROUP/INDEX}
 * @param text the generated text
 * @param tokens the number of generated tokens, at least 1
 * @param finishReason {@code stop} or {@code length}
 * @param weightVersions contiguous spans that cover all tokens, with the versions that the engines
 *     reported
 */
public record Sample(
    String id,
    String text,
    int tokens,
    String finishReason,
    ImmutableList<VersionSpan> weightVersions) {
  /** Validates the components. */
  public Sample {
    checkNotNull(id, "id");
    checkNotNull(text, "text");
    checkNotNull(finishReason, "finishReason");
    checkArgument(tokens >= 1, "tokens is %s, expected >= 1", tokens);
    int next = 0;
    for (VersionSpan span : weightVersions) {
      checkArgument(span.start() == next, "span starts at %s, expected %s", span.start(), next);
      next = span.end();
    }
    checkArgument(next == tokens, "spans end at %s, expected %s", next, tokens);
  }

  /** Returns the oldest weight version that generated any of the sample's tokens. */
  public long oldestVersion() {
    return weightVersions.stream().mapToLong(VersionSpan::version).min().orElseThrow();
  }
}
