package io.briarward.core.rollout;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** The progress of one undelivered sample. Not thread-safe. */
final class SampleProgress {
  private final GroupProgress group;
  private final int index;
  private final List<Attempt> runningAttempts = new ArrayList<>();
  private final Set<String> avoidedSamplers = new HashSet<>();
  private Prefix prefix = Prefix.EMPTY;
  private Optional<Sample> result = Optional.empty();
  private long notBeforeMillis;
  private int failures;
  private OptionalLong staleAtMillis = OptionalLong.empty();

  SampleProgress(GroupProgress group, int index) {
    this.group = group;
    this.index = index;
  }

  String id() {
    return group.spec().sampleId(index);
  }

  GroupProgress group() {
    return group;
  }

  SamplingParameters sampling() {
    SamplingParameters shared = group.spec().sampling();
    return new SamplingParameters(shared.maxTokens(), shared.temperature(), shared.seed() + index);
  }

  boolean isWaiting(long nowMillis) {
    return result.isEmpty() && runningAttempts.isEmpty() && nowMillis >= notBeforeMillis;
  }

  List<Attempt> runningAttempts() {
    return runningAttempts;
  }

  ImmutableSet<String> avoidedSamplers() {
    return ImmutableSet.copyOf(avoidedSamplers);
  }

  /** Makes later attempts prefer other samplers. Does nothing if the attempt had no sampler yet. */
  void avoidSampler(Optional<String> samplerId) {
    samplerId.ifPresent(avoidedSamplers::add);
  }

  Prefix prefix() {
    return prefix;
  }

  Optional<Sample> result() {
    return result;
  }

  void finish(Sample sample) {
    result = Optional.of(sample);
    prefix = Prefix.EMPTY;
  }

  /**
   * Keeps a failed attempt's tokens if they exceed those already kept, and delays the next attempt.
   */
  void retry(Prefix kept, long delayMillis, long nowMillis) {
    if (kept.tokens() > prefix.tokens()) {
      prefix = kept;
    }
    failures++;
    notBeforeMillis = nowMillis + delayMillis;
  }

  void postpone(long untilMillis) {
    notBeforeMillis = untilMillis;
  }

  int failures() {
    return failures;
  }

  /** Discards all output because it exceeded the staleness bound. */
  void discardStale(long nowMillis) {
    discard();
    staleAtMillis = OptionalLong.of(nowMillis);
  }

  /**
   * Returns whether stale output was discarded within the last {@code waitMillis}. Such a sample
   * should start on weights that stay within the bound after the next announcement.
   */
  boolean wasStaleWithin(long nowMillis, long waitMillis) {
    return staleAtMillis.isPresent() && nowMillis - staleAtMillis.getAsLong() <= waitMillis;
  }

  /** Discards all output. */
  void discard() {
    result = Optional.empty();
    prefix = Prefix.EMPTY;
  }
}
