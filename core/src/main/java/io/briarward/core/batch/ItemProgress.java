package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeSet;

/** The text and the state of one item that is not listed yet. */
final class ItemProgress {
  enum State {
    WAITING,
    RUNNING,
    FINISHED
  }

  private final BatchItem item;
  private final boolean singleVersion;
  private final List<String> texts = new ArrayList<>();
  private final TreeSet<Long> versions = new TreeSet<>();
  private State state = State.WAITING;
  private OptionalLong lastEventId = OptionalLong.empty();
  private long currentVersion;
  private int failures;
  private long notBeforeMillis = Long.MIN_VALUE;

  ItemProgress(BatchItem item, boolean singleVersion) {
    this.item = checkNotNull(item, "item");
    this.singleVersion = singleVersion;
  }

  BatchItem item() {
    return item;
  }

  State state() {
    return state;
  }

  int failures() {
    return failures;
  }

  OptionalLong lastEventId() {
    return lastEventId;
  }

  boolean mayStart(long nowMillis) {
    return state == State.WAITING && nowMillis >= notBeforeMillis;
  }

  void start() {
    state = State.RUNNING;
  }

  /**
   * Notes the version that a run begins with.
   *
   * @return whether the run may go on
   */
  boolean onVersion(long version, long minVersion) {
    currentVersion = version;
    return version >= minVersion && fitsVersions(version);
  }

  /**
   * Adds an event.
   *
   * @return whether the run may go on; otherwise the event was not added
   */
  boolean onEvent(SampleEvent event) {
    long version = event.version().orElse(currentVersion);
    boolean next = lastEventId.isEmpty() || event.id() == lastEventId.getAsLong() + 1;
    if (!next || !fitsVersions(version)) {
      return false;
    }
    currentVersion = version;
    versions.add(version);
    texts.add(event.data());
    lastEventId = OptionalLong.of(event.id());
    return true;
  }

  void onFailure() {
    failures++;
  }

  void waitUntil(long untilMillis) {
    state = State.WAITING;
    notBeforeMillis = untilMillis;
    if (singleVersion) {
      clear();
    }
  }

  ItemResult finish() {
    state = State.FINISHED;
    return new ItemResult(
        item.id(), true, String.join("\n", texts), ImmutableList.copyOf(versions));
  }

  ItemResult lose() {
    state = State.FINISHED;
    return ItemResult.lost(item.id());
  }

  private boolean fitsVersions(long version) {
    return !singleVersion || versions.isEmpty() || versions.first() == version;
  }

  private void clear() {
    texts.clear();
    versions.clear();
    lastEventId = OptionalLong.empty();
  }
}
