package io.briarward.core.membership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class MembershipTest {
  private static final long INTERVAL_MILLIS = 250;
  private static final String UNRESPONSIVE = "vm-1";

  private final Membership membership =
      Membership.create("vm-0", 1, MembershipSettings.defaults(), new Random(1));

  @BeforeEach
  void setListed() {
    membership.setListed(
        IntStream.range(0, 10)
            .mapToObj(index -> new ListedVm("vm-" + index, "nadi", false))
            .collect(ImmutableList.toImmutableList()));
  }

  @Test
  void unresponsiveVmIsSuspectedThenDeclaredDead() {
    runTicks(0, 6_000);
    assertThat(stateOf(UNRESPONSIVE)).isEqualTo(MemberState.SUSPECT);

    runTicks(6_000, 20_000);
    assertThat(stateOf(UNRESPONSIVE)).isEqualTo(MemberState.DEAD);
  }

  @Test
  void pausedNodeRestartsSuspicionTimeouts() {
    runTicks(0, 6_000);
    runTicks(66_000, 66_250);

    assertThat(stateOf(UNRESPONSIVE)).isEqualTo(MemberState.SUSPECT);
  }

  @Test
  void manySuspectsAreNotDeclaredDead() {
    for (long atMillis = 0; atMillis < 60_000; atMillis += INTERVAL_MILLIS) {
      assertThat(membership.tick(atMillis, Digest.none())).isNotEmpty();
    }

    assertThat(membership.members().stream().map(Member::state)).doesNotContain(MemberState.DEAD);
  }

  @Test
  void updateOfEarlierIncarnationIsIgnored() {
    receive(new MemberUpdate(UNRESPONSIVE, MemberState.ALIVE, 5));
    receive(new MemberUpdate(UNRESPONSIVE, MemberState.DEAD, 4));

    assertThat(stateOf(UNRESPONSIVE)).isEqualTo(MemberState.ALIVE);
  }

  /**
   * Ticks once per probe interval; every probed VM except {@link #UNRESPONSIVE} answers at once.
   */
  private void runTicks(long fromMillis, long untilMillis) {
    for (long atMillis = fromMillis; atMillis < untilMillis; atMillis += INTERVAL_MILLIS) {
      for (Outgoing out : membership.tick(atMillis, Digest.none())) {
        boolean probe = out.message().kind() == MembershipMessage.Kind.PROBE;
        if (probe && !out.vmId().equals(UNRESPONSIVE)) {
          answer(out, atMillis);
        }
      }
    }
  }

  private void answer(Outgoing probe, long atMillis) {
    MembershipMessage answer =
        message(MembershipMessage.Kind.ANSWER, probe.message().sequence(), ImmutableList.of());
    assertThat(membership.receive(probe.vmId(), answer, atMillis, Digest.none())).isEmpty();
  }

  private void receive(MemberUpdate update) {
    MembershipMessage probe = message(MembershipMessage.Kind.PROBE, 1, ImmutableList.of(update));
    assertThat(membership.receive("vm-2", probe, 0, Digest.none())).hasSize(1);
  }

  private static MembershipMessage message(
      MembershipMessage.Kind kind, long sequence, ImmutableList<MemberUpdate> updates) {
    return new MembershipMessage(kind, sequence, "", updates, Digest.none());
  }

  private MemberState stateOf(String vmId) {
    return membership.members().stream()
        .filter(member -> member.vmId().equals(vmId))
        .map(Member::state)
        .findFirst()
        .orElseThrow();
  }
}
