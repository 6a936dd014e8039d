package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import io.briarward.core.memory.ByteBudget;
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

  private static final int STREAMS = 432;
  private static final int BUDGET_BYTES = 1 << 20;

  private final ByteBudget budget = ByteBudget.of(BUDGET_BYTES);
  private final EventStreamParser parser = EventStreamParser.create("weights", budget);

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
    EventStreamParser chunkedParser = EventStreamParser.create("weights", budget);
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

  @Test
  void fieldsWithoutValueAndEmptyLinesOfDataAreKept() {
    assertThat(parser.feed(bytes("id: 1\ndata\ndata:\ndata: \ndata:  b\nfoo\n: c\n\n")))
        .containsExactly(new SampleEvent(1, OptionalLong.empty(), "\n\n\n b"));
  }

  @Test
  void largeEventIsReturnedAndItsMemoryGivenBack() {
    String text = "x".repeat(EventStreamParser.MAX_EVENT_BYTES - 20);
    assertThat(parser.feed(bytes("id: 1\ndata: " + text)).isEmpty()).isTrue();
    assertThat(budget.heldBytes()).isAtLeast(text.length() - EventStreamParser.BASE_BYTES);
    assertThat(parser.feed(bytes("\n\n")))
        .containsExactly(new SampleEvent(1, OptionalLong.empty(), text));
    assertThat(budget.heldBytes()).isEqualTo(0);
  }

  /** Guards against an unfinished event of many lines that takes several times its bytes. */
  @Test
  void unfinishedEventOfShortLinesIsRejectedBeforeItTakesMuchMemory() {
    byte[] lines = bytes("data:x\n".repeat(EventStreamParser.MAX_EVENT_BYTES / 6 + 1));
    assertThrows(IllegalArgumentException.class, () -> parser.feed(lines));
    assertThat(budget.heldBytes()).isAtMost(EventStreamParser.MAX_EVENT_BYTES);
  }

  /** Guards against streams without end that take the memory of the process together. */
  @Test
  void unfinishedEventsOfAllStreamsStayWithinTheBudgetAndSmallOnesGoOn() {
    byte[] endless = bytes("data:x\n".repeat(EventStreamParser.MAX_EVENT_BYTES / 12));
    List<EventStreamParser> faulty = new ArrayList<>();
    int rejected = 0;
    for (int i = 0; i < STREAMS; i++) {
      EventStreamParser stream = EventStreamParser.create("weights", budget);
      faulty.add(stream);
      try {
        stream.feed(endless);
      } catch (IllegalArgumentException e) {
        rejected++;
      }
    }
    assertThat(rejected).isGreaterThan(STREAMS / 2);
    assertThat(budget.heldBytes()).isAtMost(BUDGET_BYTES);
    assertThat(parser.feed(bytes("id: 1\ndata: " + "x".repeat(2_000) + "\n\n"))).hasSize(1);
    faulty.forEach(EventStreamParser::close);
    assertThat(budget.heldBytes()).isEqualTo(0);
  }
}
