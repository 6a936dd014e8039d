package io.briarward.core.rollout;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.stream.IntStream;

/** What is known of one group of a shard. Not thread-safe. */
final class GroupProgress {
  /** How far a group has come. */
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

  /** Returns whether the group is complete, undelivered and older than {@code version}. */
  boolean isLeftBehind(long version) {
    return stage == Stage.COMPLETE && oldestVersion < version;
  }

  /** Returns the whole group once every sample is finished. */
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

  /** Marks the group as recorded and drops its texts. */
  void complete(long oldest) {
    stage = Stage.COMPLETE;
    oldestVersion = oldest;
    samples.forEach(SampleProgress::restart);
  }

  void deliver() {
    stage = Stage.DELIVERED;
    samples.forEach(SampleProgress::restart);
  }

  /** Runs the group again from the start, since it aged beyond the bound. */
  void expire(long nowMillis) {
    stage = Stage.RUNNING;
    samples.forEach(sample -> sample.expire(nowMillis));
  }
}
