package io.briarward.core.rollout;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.stream.IntStream;

/** The progress of one group of a shard. Not thread-safe. */
final class GroupProgress {
  enum Stage {
    RUNNING,
    COMPLETE,
    DELIVERED
  }

  private final int index;
  private final GroupSpec spec;
  private final ImmutableList<SampleProgress> samples;
  private Stage stage = Stage.RUNNING;
  private long oldestVersion;

  GroupProgress(int index, GroupSpec spec) {
    this.index = index;
    this.spec = spec;
    this.samples =
        IntStream.range(0, spec.samples())
            .mapToObj(sample -> new SampleProgress(this, sample))
            .collect(ImmutableList.toImmutableList());
  }

  int index() {
    return index;
  }

  GroupSpec spec() {
    return spec;
  }

  ImmutableList<SampleProgress> samples() {
    return samples;
  }

  Stage stage() {
    return stage;
  }

  boolean isRunning() {
    return stage == Stage.RUNNING;
  }

  /**
   * Returns whether the group is complete and undelivered, but has tokens older than {@code
   * oldestFreshVersion}.
   */
  boolean isCompleteButStale(long oldestFreshVersion) {
    return stage == Stage.COMPLETE && oldestVersion < oldestFreshVersion;
  }

  /** Returns the group's samples, or empty until every sample is finished. */
  Optional<GroupResult> result() {
    if (!samples.stream().allMatch(sample -> sample.result().isPresent())) {
      return Optional.empty();
    }
    ImmutableList<Sample> finished =
        samples.stream()
            .map(sample -> sample.result().orElseThrow())
            .collect(ImmutableList.toImmutableList());
    return Optional.of(new GroupResult(spec.id(), finished));
  }

  /** Marks the group as complete and releases the text of its samples. */
  void markComplete(long oldest) {
    stage = Stage.COMPLETE;
    oldestVersion = oldest;
    samples.forEach(SampleProgress::discard);
  }

  void markDelivered() {
    stage = Stage.DELIVERED;
    samples.forEach(SampleProgress::discard);
  }

  /** Restarts the group, which has exceeded the staleness bound, from its first token. */
  void restartStale(long nowMillis) {
    stage = Stage.RUNNING;
    samples.forEach(sample -> sample.discardStale(nowMillis));
  }
}
