package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A range of consecutive tokens of a sample that one weight version generated.
 *
 * @param version the weight version, as the engine reported it
 * @param start the zero-based index of the first token
 * @param end the index after the last token, above {@code start}
 */
public record VersionSpan(long version, int start, int end) {
  /** Validates the components. */
  public VersionSpan {
    checkArgument(version >= 0, "version is %s, expected >= 0", version);
    checkArgument(start >= 0 && end > start, "span is %s to %s, expected start < end", start, end);
  }
}
