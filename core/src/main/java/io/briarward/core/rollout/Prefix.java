package io.briarward.core.rollout;

import com.google.common.collect.ImmutableList;

/**
 * The part of a sample that exists already and can be resumed.
 *
 * @param text the generated text, empty at the start
 * @param spans the versions that produced it
 */
record Prefix(String text, ImmutableList<VersionSpan> spans) {
  static final Prefix EMPTY = new Prefix("", ImmutableList.of());

  /** Returns this prefix, or the empty one when some token is older than {@code oldestVersion}. */
  Prefix unlessOlderThan(long oldestVersion) {
    boolean fresh = spans.stream().allMatch(span -> span.version() >= oldestVersion);
    return fresh ? this : EMPTY;
  }

  /** Returns this prefix, or the empty one when no token is left to generate. */
  Prefix unlessAsLongAs(int maxTokens) {
    return tokens() < maxTokens ? this : EMPTY;
  }

  int tokens() {
    return SpanRecorder.copyOf(spans).tokens();
  }
}
