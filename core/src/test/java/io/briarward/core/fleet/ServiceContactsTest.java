package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ServiceContactsTest {
  private final ServiceContacts contacts = new ServiceContacts();

  @Test
  void severalUpstreamsInRowThatDoNotAnswerCutTheNodeOff() {
    contacts.onUnreachable("desk", "a");
    contacts.onUnreachable("desk", "a");
    contacts.onUnreachable("desk", "b");
    assertThat(contacts.isCutOff("desk", () -> 10)).isFalse();
    contacts.onUnreachable("desk", "c");
    assertThat(contacts.isCutOff("desk", () -> 10)).isTrue();
    assertThat(contacts.isCutOff("llm", () -> 10)).isFalse();
  }

  @Test
  void contactToAnyUpstreamOfTheServiceEndsTheSuspicion() {
    contacts.onUnreachable("desk", "a");
    contacts.onUnreachable("desk", "b");
    contacts.onContact("desk", 100);
    contacts.onUnreachable("desk", "c");
    assertThat(contacts.isCutOff("desk", () -> 3)).isFalse();
    assertThat(contacts.suspected()).containsExactly("desk");
    assertThat(contacts.hadContactSince("desk", 100)).isTrue();
    assertThat(contacts.hadContactSince("desk", 101)).isFalse();
    assertThat(contacts.hadContactSince("llm", 0)).isFalse();
  }

  @Test
  void allUpstreamsOfSmallServiceAreEnough() {
    contacts.onUnreachable("desk", "a");
    assertThat(contacts.isCutOff("desk", () -> 2)).isFalse();
    assertThat(contacts.isCutOff("desk", () -> 1)).isTrue();
  }

  @Test
  void serviceWithoutUpstreamsIsNotCutOff() {
    contacts.onUnreachable("desk", "a");
    contacts.onRemoved("desk", "a");
    assertThat(contacts.isCutOff("desk", () -> 0)).isFalse();
    assertThat(contacts.isCutOff("desk", () -> 1)).isFalse();
  }
}
