package io.briarward.core.membership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ContactsTest {
  private static final Digest SETTLED = new Digest(3, Optional.empty(), true);
  private static final Digest UNSETTLED = new Digest(3, Optional.empty(), false);
  private static final long NOW_MILLIS = 5_000;

  private final Contacts contacts = Contacts.create(MembershipSettings.defaults());

  @Test
  void hasNoMajorityBeforeListIsKnown() {
    assertThat(contacts.hasMajority(NOW_MILLIS, version -> true)).isFalse();
  }

  @Test
  void halfOfGroupIsNoMajority() {
    setOthers(3);
    contacts.onAnswer("vm-0", 1, 4_000, SETTLED);

    assertThat(contacts.hasMajority(NOW_MILLIS, version -> version >= 3)).isFalse();
  }

  @Test
  void unsettledNodesDoNotCountTowardsMajority() {
    setOthers(2);
    contacts.onAnswer("vm-0", 1, 4_000, UNSETTLED);

    assertThat(contacts.hasMajority(NOW_MILLIS, version -> version >= 0)).isFalse();
  }

  @Test
  void unansweredProbesCountAgainstMajorityOfSample() {
    setOthers(100);
    for (int i = 0; i < 20; i++) {
      contacts.onProbeSent(i, 250 * i);
      if (i % 5 < 2) {
        contacts.onAnswer("vm-" + i, i, 250 * i, SETTLED);
      }
    }

    assertThat(contacts.hasMajority(NOW_MILLIS, version -> version >= 0)).isFalse();
  }

  @Test
  void answersToProbesOutsideSampleDoNotCountTowardsMajority() {
    setOthers(100);
    for (int i = 0; i < 20; i++) {
      contacts.onProbeSent(i, 250 * i);
      contacts.onAnswer("vm-0", 1_000 + i, 250 * i, SETTLED);
    }

    assertThat(contacts.hasMajority(NOW_MILLIS, version -> version >= 0)).isFalse();
  }

  private void setOthers(int count) {
    contacts.setOthers(
        IntStream.range(0, count)
            .mapToObj(index -> "vm-" + index)
            .collect(ImmutableSet.toImmutableSet()));
  }
}
