package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Parses a sampler's event stream incrementally.
 *
 * <p>An event is returned once the blank line that terminates it has arrived. Not thread-safe.
 */
public final class EventStreamParser {
  private static final int MAX_EVENT_BYTES = 1 << 20; // Far larger than an event of any model.

  private final String versionField;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final List<String> data = new ArrayList<>();
  private int eventBytes;
  private Long id;
  private OptionalLong version = OptionalLong.empty();

  private EventStreamParser(String versionField) {
    this.versionField = checkNotNull(versionField, "versionField");
  }

  /**
   * Returns a parser at the start of a stream.
   *
   * @param versionField the name of the field that contains a new weight version
   */
  public static EventStreamParser create(String versionField) {
    return new EventStreamParser(versionField);
  }

  /**
   * Parses the next bytes and returns the events that they complete.
   *
   * @throws IllegalArgumentException if the bytes are not a valid event stream
   */
  public ImmutableList<SampleEvent> feed(byte[] bytes) {
    ImmutableList.Builder<SampleEvent> events = ImmutableList.builder();
    for (byte next : bytes) {
      if (next != '\n') {
        line.write(next);
        eventBytes++;
        if (eventBytes > MAX_EVENT_BYTES) {
          throw new IllegalArgumentException("event is longer than " + MAX_EVENT_BYTES + " bytes");
        }
      } else {
        parseLine(stripCarriageReturn(line.toString(StandardCharsets.UTF_8)), events);
        line.reset();
      }
    }
    return events.build();
  }

  /** Returns whether the bytes so far end at the boundary between two events. */
  public boolean atBoundary() {
    return line.size() == 0 && data.isEmpty() && id == null;
  }

  private void parseLine(String text, ImmutableList.Builder<SampleEvent> events) {
    if (text.isEmpty()) {
      completeEvent(events);
      return;
    }
    int colon = text.indexOf(':');
    String field = colon < 0 ? text : text.substring(0, colon);
    String value = colon < 0 ? "" : text.substring(colon + 1);
    if (value.startsWith(" ")) {
      value = value.substring(1);
    }
    if (field.equals("data")) {
      data.add(value);
    } else if (field.equals("id")) {
      id = parseLong(field, value);
    } else if (field.equals(versionField)) {
      version = OptionalLong.of(parseLong(field, value));
    }
  }

  private void completeEvent(ImmutableList.Builder<SampleEvent> events) {
    if (id != null) {
      events.add(new SampleEvent(id, version, String.join("\n", data)));
    } else if (!data.isEmpty()) {
      throw new IllegalArgumentException("event has data but no id");
    }
    id = null;
    version = OptionalLong.empty();
    data.clear();
    eventBytes = 0;
  }

  private static long parseLong(String field, String value) {
    Long parsed = Longs.tryParse(value.trim());
    if (parsed == null) {
      throw new IllegalArgumentException(field + " field is not an integer");
    }
    return parsed;
  }

  private static String stripCarriageReturn(String text) {
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }
}
