package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SenderViewTest {
  private final SenderView view = SenderView.create("a");

  private void contact(long fromMillis, long untilMillis) {
    for (long nowMillis = fromMillis; nowMillis <= untilMillis; nowMillis += 250) {
      view.onRow("a", true, view.isEstablished(), nowMillis);
      view.onContact(nowMillis, nowMillis >= fromMillis + 3_500, nowMillis);
    }
  }

  /** Another node without current rows may not count the new node and send in its place. */
  @Test
  void newNodeSendsOnceOthersWithoutItsRowHaveCeasedToSend() {
    assertThat(SenderView.SETTLE_MILLIS).isGreaterThan(SenderView.VALID_MILLIS + 2_750);
    contact(1_000, 18_750);
    assertThat(view.part(18_750)).isEqualTo(0);
    contact(1_000, 19_000);
    assertThat(view.part(19_000)).isEqualTo(1);
  }

  @Test
  void processSucceedsAnEstablishedOneOnTheSameVm() {
    view.onRow("a", false, true, 1_000);
    view.onContact(Long.MIN_VALUE / 2, false, 1_250);
    assertThat(view.part(1_250)).isEqualTo(0.5);
  }

  @Test
  void processDoesNotSucceedOneThatWasNotEstablished() {
    view.onRow("a", false, false, 1_000);
    view.onRow("b", false, true, 1_000);
    assertThat(view.part(1_250)).isEqualTo(0);
  }

  /** A suspended process resumes before it learns that its rows are old. */
  @Test
  void nodeWithoutCurrentRowsUsesHalfAndLaterNothing() {
    contact(0, 30_000);
    assertThat(view.part(32_000)).isEqualTo(1);
    assertThat(view.part(32_001)).isEqualTo(0.5);
    assertThat(view.part(45_000)).isEqualTo(0.5);
    assertThat(view.part(45_001)).isEqualTo(0);
    contact(60_000, 64_000);
    assertThat(view.part(64_000)).isEqualTo(1);
  }

  @Test
  void lostNodeIsCountedUntilItsRetentionEnds() {
    view.onRow("b", false, true, 0);
    contact(0, SenderView.RETENTION_MILLIS - 250);
    assertThat(view.names()).containsExactly("a", "b");
    contact(SenderView.RETENTION_MILLIS, SenderView.RETENTION_MILLIS);
    assertThat(view.names()).containsExactly("a");
  }

  @Test
  void nodeThatWasAbsentForLongIsNewAgain() {
    contact(0, 30_000);
    long returnedMillis = 30_000 + SenderView.MAX_ABSENCE_MILLIS + 250;
    contact(returnedMillis, returnedMillis + SenderView.SETTLE_MILLIS - 250);
    assertThat(view.part(returnedMillis + SenderView.SETTLE_MILLIS - 250)).isEqualTo(0);
  }

  @Test
  void leavingNodeSendsNothing() {
    contact(0, 30_000);
    view.onLeave();
    assertThat(view.part(30_000)).isEqualTo(0);
  }
}
