package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import io.briarward.core.memory.ByteBudget;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Parses a sampler's event stream incrementally.
 *
 * <p>An event is returned once the blank line that terminates it has arrived. Until then the stream
 * holds its bytes, in one array: {@value #BASE_BYTES} bytes at any time, more only as far as a
 * budget that all streams share permits, and no more than {@value #MAX_EVENT_BYTES}. Close the
 * parser to give back what it holds. Not thread-safe.
 */
public final class EventStreamParser implements AutoCloseable {
  /** Far larger than an event of any model. */
  static final int MAX_EVENT_BYTES = 64 << 10;

  /**
   * The size of an event that every stream may hold, in bytes; larger than an event of the models
   * that are in use, so that their streams go on while others use up the budget.
   */
  static final int BASE_BYTES = 4 << 10;

  private static final int INITIAL_BYTES = 512;

  private final String versionField;
  private final ByteBudget.Share share;

  /** The data of the unfinished event, and after it the unfinished line. */
  private byte[] buffer = new byte[INITIAL_BYTES];

  private int dataBytes;
  private int bufferedBytes;
  private int eventBytes;
  private boolean hasData;
  private Long id;
  private OptionalLong version = OptionalLong.empty();

  private EventStreamParser(String versionField, ByteBudget.Share share) {
    this.versionField = checkNotNull(versionField, "versionField");
    this.share = checkNotNull(share, "share");
  }

  /**
   * Returns a parser at the start of a stream.
   *
   * @param versionField the name of the field that contains a new weight version
   * @param budget the memory that the unfinished events of all streams share
   */
  public static EventStreamParser create(String versionField, ByteBudget budget) {
    return new EventStreamParser(versionField, budget.open());
  }

  /**
   * Parses the next bytes and returns the events that they complete.
   *
   * @throws IllegalArgumentException if the bytes are not a valid event stream, or if its
   *     unfinished event is too large to hold
   */
  public ImmutableList<SampleEvent> feed(byte[] bytes) {
    ImmutableList.Builder<SampleEvent> events = ImmutableList.builder();
    for (byte next : bytes) {
      if (next != '\n') {
        append(next);
      } else {
        parseLine(events);
      }
    }
    return events.build();
  }

  /** Returns whether the bytes so far end at the boundary between two events. */
  public boolean atBoundary() {
    return bufferedBytes == 0 && !hasData && id == null;
  }

  /** Releases the unfinished event; the parser cannot be used afterwards. */
  @Override
  public void close() {
    buffer = new byte[0];
    share.close();
  }

  private void append(byte next) {
    eventBytes++;
    if (eventBytes > MAX_EVENT_BYTES) {
      throw new IllegalArgumentException("event is longer than " + MAX_EVENT_BYTES + " bytes");
    }
    ensureRoom();
    buffer[bufferedBytes++] = next;
  }

  private void ensureRoom() {
    if (bufferedBytes < buffer.length) {
      return;
    }
    int capacity = 2 * buffer.length;
    if (!share.resize(Math.max(0, capacity - BASE_BYTES))) {
      throw new IllegalArgumentException(
          "the unfinished events of all streams leave no room for one of " + capacity + " bytes");
    }
    buffer = Arrays.copyOf(buffer, capacity);
  }

  private void parseLine(ImmutableList.Builder<SampleEvent> events) {
    int end = bufferedBytes;
    if (end > dataBytes && buffer[end - 1] == '\r') {
      end--;
    }
    if (end == dataBytes) {
      bufferedBytes = dataBytes;
      completeEvent(events);
      return;
    }
    int colon = dataBytes;
    while (colon < end && buffer[colon] != ':') {
      colon++;
    }
    int valueAt = Math.min(end, colon + 1);
    if (valueAt < end && buffer[valueAt] == ' ') {
      valueAt++;
    }
    parseField(text(dataBytes, colon), valueAt, end);
    bufferedBytes = dataBytes;
  }

  private void parseField(String field, int valueAt, int end) {
    if (field.equals("data")) {
      // The line is longer than its value and the line break, so neither overwrites the value.
      if (hasData) {
        buffer[dataBytes++] = '\n';
      }
      System.arraycopy(buffer, valueAt, buffer, dataBytes, end - valueAt);
      dataBytes += end - valueAt;
      hasData = true;
    } else if (field.equals("id")) {
      id = parseLong(field, text(valueAt, end));
    } else if (field.equals(versionField)) {
      version = OptionalLong.of(parseLong(field, text(valueAt, end)));
    }
  }

  private void completeEvent(ImmutableList.Builder<SampleEvent> events) {
    if (id != null) {
      events.add(new SampleEvent(id, version, text(0, dataBytes)));
    } else if (hasData) {
      throw new IllegalArgumentException("event has data but no id");
    }
    id = null;
    version = OptionalLong.empty();
    hasData = false;
    dataBytes = 0;
    bufferedBytes = 0;
    eventBytes = 0;
    if (buffer.length > BASE_BYTES) {
      buffer = new byte[INITIAL_BYTES];
      share.resize(0);
    }
  }

  private String text(int start, int end) {
    return new String(buffer, start, end - start, StandardCharsets.UTF_8);
  }

  private static long parseLong(String field, String value) {
    Long parsed = Longs.tryParse(value.trim());
    if (parsed == null) {
      throw new IllegalArgumentException(field + " field is not an integer");
    }
    return parsed;
  }
}
