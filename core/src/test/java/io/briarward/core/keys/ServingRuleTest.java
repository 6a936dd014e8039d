package io.briarward.core.keys;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.core.distribution.Action;
import io.briarward.core.distribution.ConfigurationDelta;
import io.briarward.core.distribution.ConfigurationDocument;
import io.briarward.core.distribution.ConfigurationMessage;
import io.briarward.core.distribution.ControlNode;
import io.briarward.core.distribution.StoreRead;
import io.briarward.core.membership.Digest;
import io.briarward.core.membership.ListedVm;
import io.briarward.core.membership.Membership;
import io.briarward.core.membership.MembershipMessage;
import io.briarward.core.membership.MembershipSettings;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ServingRuleTest {
  private static final long START_MILLIS = 100_000;
  private static final Optional<Long> UNKNOWN_AGE = Optional.empty();
  private static final ConfigurationDelta FIRST_DELTA =
      ConfigurationDocument.empty()
          .deltaTo(ConfigurationCodec.parse("{\"dataCentres\": [\"nadi\"]}"));

  private final ControlNode node = newNode();

  @Test
  void evidenceFromBeforeStartDoesNotPermitServing() {
    installWhole(ConfigurationDocument.empty());
    exchangeProbe(START_MILLIS, new Digest(0, Optional.of(2_000L), false));

    assertThat(permission(START_MILLIS + 100).reason())
        .isEqualTo(ServingPermission.Reason.NOT_SETTLED);
  }

  @Test
  void evidenceFromAfterStartPermitsServing() {
    installWhole(ConfigurationDocument.empty());
    exchangeProbe(START_MILLIS + 3_000, new Digest(0, Optional.of(2_000L), false));

    assertThat(permission(START_MILLIS + 3_100).reason()).isEqualTo(ServingPermission.Reason.FRESH);
  }

  @Test
  void nodeThatKnowsLaterVersionMayNotServeDuringStoreOutage() {
    readEmptyStore();
    long laterMillis = START_MILLIS + 60_000;
    exchangeProbe(laterMillis, new Digest(0, UNKNOWN_AGE, true));
    assertThat(permission(laterMillis + 100).reason())
        .isEqualTo(ServingPermission.Reason.STORE_OUTAGE);

    exchangeProbe(laterMillis + 250, new Digest(1, UNKNOWN_AGE, true));
    assertThat(permission(laterMillis + 300).reason()).isEqualTo(ServingPermission.Reason.BEHIND);
  }

  @Test
  void storedVersionIsAcceptedOnceMajorityHoldsIt() {
    readEmptyStore();
    node.onAccepted(FIRST_DELTA, START_MILLIS + 1_000, START_MILLIS + 1_010);
    exchangeProbe(START_MILLIS + 1_100, new Digest(0, UNKNOWN_AGE, true));
    assertThat(ServingRule.isAccepted(node, 1, START_MILLIS + 1_200)).isFalse();

    exchangeProbe(START_MILLIS + 1_400, new Digest(1, UNKNOWN_AGE, true));
    assertThat(ServingRule.isAccepted(node, 1, START_MILLIS + 1_500)).isTrue();
  }

  @Test
  void olderWholeDocumentIsNotInstalled() {
    installWhole(ConfigurationDocument.of(2, ConfigurationCodec.parse("{}")));
    installWhole(ConfigurationDocument.of(1, ConfigurationCodec.parse("{}")));

    assertThat(node.held().orElseThrow().version()).isEqualTo(2);
  }

  private ServingPermission permission(long nowMillis) {
    return ServingRule.permission(node, nowMillis);
  }

  private void readEmptyStore() {
    node.onStoreAnswer(
        new StoreRead(StoreRead.Kind.HEAD, 0),
        ImmutableList.of(),
        START_MILLIS + 10,
        START_MILLIS + 20);
    assertThat(node.tick(START_MILLIS + 30)).isNotEmpty();
  }

  private void installWhole(ConfigurationDocument document) {
    ConfigurationMessage.Whole whole =
        new ConfigurationMessage.Whole(document.version(), document.json(), document.checksum());
    node.onConfiguration(
        "vm-1",
        new ConfigurationMessage(
            ConfigurationMessage.Kind.CONTENT,
            Digest.none(),
            0,
            ImmutableList.of(),
            Optional.of(whole)),
        START_MILLIS);
  }

  /** Ticks the node and answers its probe 10 ms later with {@code digest}. */
  private void exchangeProbe(long atMillis, Digest digest) {
    Action.SendMembership probe =
        node.tick(atMillis).stream()
            .filter(Action.SendMembership.class::isInstance)
            .map(Action.SendMembership.class::cast)
            .filter(send -> send.message().kind() == MembershipMessage.Kind.PROBE)
            .findFirst()
            .orElseThrow();
    MembershipMessage answer =
        new MembershipMessage(
            MembershipMessage.Kind.ANSWER,
            probe.message().sequence(),
            "",
            ImmutableList.of(),
            digest);
    node.onMembership(probe.vmId(), answer, atMillis + 10);
  }

  private static ControlNode newNode() {
    Membership membership =
        Membership.create("vm-0", 1, MembershipSettings.defaults(), new Random(1));
    ControlNode node = ControlNode.create("vm-0", "nadi", membership, START_MILLIS);
    node.setListed(ImmutableList.of(listed("vm-0"), listed("vm-1"), listed("vm-2")));
    return node;
  }

  private static ListedVm listed(String vmId) {
    return new ListedVm(vmId, "nadi", false);
  }
}
