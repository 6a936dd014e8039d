package io.briarward.core.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.IntNode;
import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;

class RowPageTest {
  private static final ImmutableList<Row> ROWS =
      ImmutableList.of(new Row("a", 1, IntNode.valueOf(1)), new Row("b", 2, IntNode.valueOf(2)));

  @Test
  void truncatedPageContinuesAfterItsLastKey() {
    assertThat(new RowPage(ROWS, true).nextAfter()).hasValue("b");
  }

  @Test
  void lastPageDoesNotContinue() {
    assertThat(new RowPage(ROWS, false).nextAfter()).isEmpty();
    assertThat(new RowPage(ImmutableList.of(), false).nextAfter()).isEmpty();
  }

  /** A reader that continued such a page would read it for ever. */
  @Test
  void truncatedPageWithoutRowsIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> new RowPage(ImmutableList.of(), true));
  }
}
