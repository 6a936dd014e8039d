package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventStreamParserTest {
  private static final String STREAM =
      "id: 1\ndata: ab\n\nweights: 7\nid: 2\ndata: c\ndata: dé\n\nid:3\r\ndata:\r\n\r\n";

  private static final ImmutableList<SampleEvent> EVENTS =
      ImmutableList.of(
          new SampleEvent(1, OptionalLong.empty(), "ab"),
          new SampleEvent(2, OptionalLong.of(7), "c\ndé"),
          new SampleEvent(3, OptionalLong.empty(), ""));

  private final EventStreamParser parser = EventStreamParser.create("weights");

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void parsesIdsVersionsAndData() {
    assertThat(parser.feed(bytes(STREAM))).isEqualTo(EVENTS);
    assertThat(parser.atBoundary()).isTrue();
  }

  @Property(tries = 60, seed = "1")
  void eventsDoNotDependOnChunkBoundaries(@ForAll @IntRange(min = 0, max = 60) int cut) {
    EventStreamParser chunkedParser = EventStreamParser.create("weights");
    byte[] stream = bytes(STREAM);
    int at = Math.min(cut, stream.length);
    List<SampleEvent> events = new ArrayList<>();
    events.addAll(chunkedParser.feed(Arrays.copyOfRange(stream, 0, at)));
    events.addAll(chunkedParser.feed(Arrays.copyOfRange(stream, at, stream.length)));
    assertThat(events).isEqualTo(EVENTS);
  }

  @Test
  void eventWithoutBlankLineIsNotReturned() {
    assertThat(parser.feed(bytes("id: 1\ndata: ab\n"))).isEmpty();
    assertThat(parser.atBoundary()).isFalse();
  }

  @Test
  void dataWithoutIdIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> parser.feed(bytes("data: x\n\n")));
  }

  @Test
  void nonNumericIdIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> parser.feed(bytes("id: x\n\n")));
  }
}
