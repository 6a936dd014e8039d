package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Merges reported chunks into spans of one weight version each. Not thread-safe. */
final class SpanRecorder {
  private final List<VersionSpan> spans;

  private SpanRecorder(List<VersionSpan> spans) {
    this.spans = spans;
  }

  static SpanRecorder create() {
    return new SpanRecorder(new ArrayList<>());
  }

  /** Returns an independent recorder that appends to a copy of the given spans. */
  static SpanRecorder copyOf(ImmutableList<VersionSpan> spans) {
    return new SpanRecorder(new ArrayList<>(spans));
  }

  void append(long version, int tokens) {
    checkArgument(tokens >= 0, "tokens is %s, expected >= 0", tokens);
    if (tokens == 0) {
      return;
    }
    int start = tokens();
    VersionSpan last = Iterables.getLast(spans, null);
    if (last != null && last.version() == version) {
      spans.set(spans.size() - 1, new VersionSpan(version, last.start(), start + tokens));
    } else {
      spans.add(new VersionSpan(version, start, start + tokens));
    }
  }

  int tokens() {
    return spans.isEmpty() ? 0 : Iterables.getLast(spans).end();
  }

  /** Returns the oldest version of any span, or empty before the first token. */
  OptionalLong oldestVersion() {
    return spans.stream().mapToLong(VersionSpan::version).min();
  }

  ImmutableList<VersionSpan> spans() {
    return ImmutableList.copyOf(spans);
  }
}
