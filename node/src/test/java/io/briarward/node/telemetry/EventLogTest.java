package io.briarward.node.telemetry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class EventLogTest {
  @Test
  void valueWithSpacesIsQuoted() {
    assertThat(EventLog.format("e", "a", 1, "b", "x \"y\"")).isEqualTo("event=e a=1 b=\"x 'y'\"");
  }

  /** Keys of rows that others write were logged with their line feeds, as lines of their own. */
  @Test
  void valueWithLineBreaksStaysOnOneLine() {
    String separators = new String(new int[] {0, 0x85, 0x2028, 0x2029, 0x1b}, 0, 5);
    String line = EventLog.format("e", "key", "a\nevent=forged\r" + separators + "[2J");
    assertThat(line).isEqualTo("event=e key=a?event=forged??????[2J");
  }

  @Test
  void longValueIsShortened() {
    assertThat(EventLog.format("e", "key", "x".repeat(70_000)).length()).isLessThan(2_100);
  }

  @Test
  void quotesWithinQuotedValueAreReplaced() {
    assertThat(EventLog.format("e", "key", "a \"b\"", "other", "\"c\""))
        .isEqualTo("event=e key=\"a 'b'\" other=\"c\"");
  }

  /** A control character that is not replaced may forge a line or command a terminal. */
  @Test
  void allControlCharactersAreReplaced() {
    for (int c = 0; c <= Character.MAX_VALUE; c++) {
      boolean replaced = Character.isISOControl(c) || c == 0x2028 || c == 0x2029;
      assertThat(EventLog.format("e", "key", "x" + (char) c).endsWith("x?"))
          .isEqualTo(replaced || c == '?');
    }
  }
}
