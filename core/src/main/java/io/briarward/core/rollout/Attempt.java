package io.briarward.core.rollout;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/** One request to a sampler for one sample. Not thread-safe. */
final class Attempt {
  private static final long WINDOW_MILLIS = 2_000;
  private static final double UNKNOWN = -1;

  private final String id;
  private final SampleProgress sample;
  private final long startedAtMillis;
  private final int resumedTokens;
  private final StringBuilder text;
  private final SpanRecorder spans;
  private Optional<String> sampler = Optional.empty();
  private long lastProgressAtMillis;
  private long windowStartMillis;
  private int windowStartTokens;
  private double windowTokensPerMillis = UNKNOWN;

  private Attempt(String id, SampleProgress sample, Prefix prefix, long nowMillis) {
    this.id = id;
    this.sample = sample;
    this.startedAtMillis = nowMillis;
    this.lastProgressAtMillis = nowMillis;
    this.windowStartMillis = nowMillis;
    this.text = new StringBuilder(prefix.text());
    this.spans = SpanRecorder.copyOf(prefix.spans());
    this.resumedTokens = spans.tokens();
  }

  static Attempt start(String id, SampleProgress sample, Prefix prefix, long nowMillis) {
    return new Attempt(id, sample, prefix, nowMillis);
  }

  void startedOn(String samplerId) {
    sampler = Optional.of(samplerId);
  }

  void append(String moreText, int tokens, long weightVersion, long nowMillis) {
    text.append(moreText);
    spans.append(weightVersion, tokens);
    lastProgressAtMillis = nowMillis;
    if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
      windowTokensPerMillis = sinceWindowStart(nowMillis);
      windowStartMillis = nowMillis;
      windowStartTokens = ownTokens();
    }
  }

  /** Returns the recent speed, so that an attempt that became slow is noticed. */
  double tokensPerMillis(long nowMillis) {
    boolean current = nowMillis - windowStartMillis < WINDOW_MILLIS;
    return current && windowTokensPerMillis != UNKNOWN
        ? windowTokensPerMillis
        : sinceWindowStart(nowMillis);
  }

  private double sinceWindowStart(long nowMillis) {
    return (double) (ownTokens() - windowStartTokens) / Math.max(1, nowMillis - windowStartMillis);
  }

  /** Returns what the attempt produced so far, with what it resumed. */
  Prefix prefix() {
    return new Prefix(text.toString(), spans.spans());
  }

  Sample toSample(String finishReason) {
    ImmutableList<VersionSpan> versions = spans.spans();
    return new Sample(sample.id(), text.toString(), spans.tokens(), finishReason, versions);
  }

  String id() {
    return id;
  }

  SampleProgress sample() {
    return sample;
  }

  Optional<String> sampler() {
    return sampler;
  }

  int tokens() {
    return spans.tokens();
  }

  int ownTokens() {
    return spans.tokens() - resumedTokens;
  }

  long elapsedMillis(long nowMillis) {
    return Math.max(1, nowMillis - startedAtMillis);
  }

  long silentMillis(long nowMillis) {
    return nowMillis - lastProgressAtMillis;
  }

  /** Returns whether no token is older than {@code oldestVersion}. */
  boolean isFresh(long oldestVersion) {
    return spans.oldestVersion().orElse(Long.MAX_VALUE) >= oldestVersion;
  }
}
