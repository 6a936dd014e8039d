package io.briarward.core.membership;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class UpdateQueueTest {
  private final UpdateQueue queue = new UpdateQueue();

  @Test
  void unsentUpdateIsTakenBeforeSentOnes() {
    queue.add(suspect("vm-1"), 2);
    assertThat(queue.take(1)).containsExactly(suspect("vm-1"));
    queue.add(suspect("vm-2"), 1);

    assertThat(queue.take(1)).containsExactly(suspect("vm-2"));
  }

  @Test
  void updateIsTakenLimitedNumberOfTimes() {
    queue.add(suspect("vm-1"), 2);

    assertThat(queue.take(8)).hasSize(1);
    assertThat(queue.take(8)).hasSize(1);
    assertThat(queue.take(8)).isEmpty();
  }

  private static MemberUpdate suspect(String vmId) {
    return new MemberUpdate(vmId, MemberState.SUSPECT, 1);
  }
}
