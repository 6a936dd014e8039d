package io.briarward.core.rollout;

import com.google.common.collect.ImmutableList;

/**
 * The tokens of an unfinished sample from which a new attempt can resume.
 *
 * @param text the generated text, empty if no token has been generated
 * @param spans the weight versions that generated the text
 */
record Prefix(String text, ImmutableList<VersionSpan> spans) {
  static final Prefix EMPTY = new Prefix("", ImmutableList.of());

  /** Returns this prefix, or an empty one if any token is older than {@code oldestVersion}. */
  Prefix orEmptyIfOlderThan(long oldestVersion) {
    boolean fresh = spans.stream().allMatch(span -> span.version() >= oldestVersion);
    return fresh ? this : EMPTY;
  }

  /** Returns this prefix, or an empty one if it has {@code maxTokens} or more tokens. */
  Prefix orEmptyIfAtLeast(int maxTokens) {
    return tokens() < maxTokens ? this : EMPTY;
  }

  int tokens() {
    return SpanRecorder.copyOf(spans).tokens();
  }
}
