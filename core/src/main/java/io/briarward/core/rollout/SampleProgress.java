package io.briarward.core.rollout;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** What is known of one sample that is not delivered. Not thread-safe. */
final class SampleProgress {
  private final GroupProgress group;
  private final int index;
  private final List<Attempt> running = new ArrayList<>();
  private final Set<String> avoided = new HashSet<>();
  private Prefix prefix = Prefix.EMPTY;
  private Optional<Sample> result = Optional.empty();
  private long notBeforeMillis;
  private int failures;
  private OptionalLong expiredAtMillis = OptionalLong.empty();

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
    return result.isEmpty() && running.isEmpty() && nowMillis >= notBeforeMillis;
  }

  List<Attempt> running() {
    return running;
  }

  ImmutableSet<String> avoided() {
    return ImmutableSet.copyOf(avoided);
  }

  /** Prefers other samplers from now on; an attempt without a sampler names none. */
  void avoid(Optional<String> samplerId) {
    samplerId.ifPresent(avoided::add);
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

  /** Keeps the text of a broken attempt and waits before the next one. */
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

  /** Forgets everything produced so far, since it aged beyond the bound. */
  void expire(long nowMillis) {
    restart();
    expiredAtMillis = OptionalLong.of(nowMillis);
  }

  /**
   * Returns whether the sample aged beyond the bound within the last {@code waitMillis}, so that it
   * should start on weights that last.
   */
  boolean expiredSince(long nowMillis, long waitMillis) {
    return expiredAtMillis.isPresent() && nowMillis - expiredAtMillis.getAsLong() <= waitMillis;
  }

  /** Forgets everything produced so far. */
  void restart() {
    result = Optional.empty();
    prefix = Prefix.EMPTY;
  }
}
