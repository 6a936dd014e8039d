package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The tokens of a sample that one weight version produced.
 *
 * @param version the weight version, as the engine reported it
 * @param start the first token, counted from 0
 * @param end the token after the last, above {@code start}
 */
public record VersionSpan(long version, int start, int end) {
  /** Checks the fields. */
  public VersionSpan {
    checkArgument(version >= 0, "version is %s, expected >= 0", version);
    checkArgument(start >= 0 && end > start, "span is %s to %s, expected start < end", start, end);
  }
}
