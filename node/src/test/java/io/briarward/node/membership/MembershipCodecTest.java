package io.briarward.node.membership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.membership.Digest;
import io.briarward.core.membership.MemberState;
import io.briarward.core.membership.MemberUpdate;
import io.briarward.core.membership.MembershipMessage;
import org.junit.jupiter.api.Test;

class MembershipCodecTest {
  @Test
  void decodeRestoresEncodedIndirectProbeOfUnsettledNode() {
    MembershipMessage message =
        new MembershipMessage(
            MembershipMessage.Kind.INDIRECT_PROBE,
            7,
            "vm-2",
            ImmutableList.of(new MemberUpdate("vm-3", MemberState.SUSPECT, 5)),
            Digest.none());

    assertThat(MembershipCodec.decode(MembershipCodec.encode(message))).isEqualTo(message);
  }
}
