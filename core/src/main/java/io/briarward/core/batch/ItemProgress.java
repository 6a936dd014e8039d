package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Utf8;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;

/** The state and the output of one item that has started and is not listed yet. Not thread-safe. */
final class ItemProgress {
  enum State {
    WAITING,
    RUNNING,
    UNSCORED,
    FINISHED
  }

  /** What an event takes beside its characters. */
  private static final int EVENT_OVERHEAD_BYTES = 64;

  private final String itemId;
  private final boolean singleVersion;
  private final TextMemory.Text memory;
  private final List<String> texts = new ArrayList<>();
  private final TreeSet<Long> versions = new TreeSet<>();
  private State state = State.WAITING;
  private OptionalLong lastEventId = OptionalLong.empty();
  private Optional<String> softwareVersion = Optional.empty();
  private long currentVersion;
  private int failures;
  private int rejections;
  private long notBeforeMillis = Long.MIN_VALUE;
  private boolean textDropped;

  ItemProgress(String itemId, boolean singleVersion, TextMemory memory) {
    this.itemId = checkNotNull(itemId, "itemId");
    this.singleVersion = singleVersion;
    this.memory = memory.open(this::onTextDropped);
  }

  State state() {
    return state;
  }

  /** Returns how often in a row samplers rejected the item. */
  int rejections() {
    return rejections;
  }

  void onRejection() {
    rejections++;
  }

  int failures() {
    return failures;
  }

  /** Returns the number of events of the output. */
  int eventCount() {
    return texts.size();
  }

  OptionalLong lastEventId() {
    return lastEventId;
  }

  /** Returns when the last run ended and the next may start. */
  long notBeforeMillis() {
    return notBeforeMillis;
  }

  boolean canStart(long nowMillis) {
    return state == State.WAITING && nowMillis >= notBeforeMillis;
  }

  /** Returns the software version that generated the output; empty if there is no output. */
  Optional<String> softwareVersion() {
    return texts.isEmpty() ? Optional.empty() : softwareVersion;
  }

  /** Starts a run; discards the output if a sampler of another software version generated it. */
  void start(String samplerSoftwareVersion) {
    if (softwareVersion().filter(version -> !version.equals(samplerSoftwareVersion)).isPresent()) {
      discardOutput();
    }
    softwareVersion = Optional.of(samplerSoftwareVersion);
    textDropped = false;
    state = State.RUNNING;
  }

  /**
   * Handles the weight version with which a run starts.
   *
   * @return whether the run may continue
   */
  boolean onVersion(long version, long minVersion) {
    currentVersion = version;
    rejections = 0;
    return version >= minVersion && acceptsVersion(version);
  }

  /**
   * Adds an event to the output.
   *
   * @return whether the run may continue; if not, the event was not added
   */
  boolean onEvent(SampleEvent event) {
    long version = event.version().orElse(currentVersion);
    boolean isNextEvent = lastEventId.isEmpty() || event.id() == lastEventId.getAsLong() + 1;
    if (textDropped || !isNextEvent || !acceptsVersion(version)) {
      return false;
    }
    if (!memory.grow(EVENT_OVERHEAD_BYTES + Utf8.encodedLength(event.data()))) {
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
      discardOutput();
    }
  }

  /** Returns whether the text of the run was dropped, so that the item must begin anew. */
  boolean textDropped() {
    return textDropped;
  }

  /** Handles the end of the text, which does not change from now on. */
  void onTextComplete() {
    memory.keep();
    state = State.UNSCORED;
  }

  ItemResult finish() {
    state = State.FINISHED;
    memory.close();
    return new ItemResult(itemId, true, String.join("\n", texts), ImmutableList.copyOf(versions));
  }

  ItemResult fail() {
    state = State.FINISHED;
    discardOutput();
    return ItemResult.lost(itemId);
  }

  private void onTextDropped() {
    textDropped = state == State.RUNNING;
    discardOutput();
  }

  private boolean acceptsVersion(long version) {
    return !singleVersion || versions.isEmpty() || versions.first() == version;
  }

  /** Discards the text; the item begins anew. */
  void discardOutput() {
    memory.close();
    texts.clear();
    versions.clear();
    lastEventId = OptionalLong.empty();
  }
}
