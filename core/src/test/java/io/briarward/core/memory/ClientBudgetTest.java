package io.briarward.core.memory;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClientBudgetTest {
  private static final long MAX_BYTES = 100;

  private final List<String> evicted = new ArrayList<>();
  private final ClientBudget budget = ClientBudget.of(3, MAX_BYTES);

  private ClientBudget.Client open(String name) {
    return budget.open(() -> evicted.add(name)).orElseThrow();
  }

  private ClientBudget.Client unfinished(String name, long bytes) {
    ClientBudget.Client client = open(name);
    client.onRequestBegun();
    assertThat(client.resize(bytes)).isTrue();
    return client;
  }

  /** Guards against clients that hold all memory with heads that never end. */
  @Test
  void requestThatHasWaitedLongestIsClosedFirst() {
    var unusedFirst = unfinished("first", 40);
    var unusedSecond = unfinished("second", 40);
    var unusedThird = unfinished("third", 40);
    assertThat(evicted).containsExactly("first");
    assertThat(budget.heldBytes()).isEqualTo(80);
    assertThat(budget.connections()).isEqualTo(2);
  }

  /** Guards against a response that is cut off for the sake of another client. */
  @Test
  void completeRequestIsNeverClosedForAnother() {
    ClientBudget.Client complete = unfinished("complete", 60);
    complete.onRequestKept();
    ClientBudget.Client second = open("second");
    second.onRequestBegun();
    assertThat(second.resize(60)).isFalse();
    assertThat(evicted).isEmpty();
    complete.onRequestEnded();
    assertThat(second.resize(60)).isTrue();
  }

  @Test
  void requestThatHasWaitedLongestIsRefusedWhenItGrows() {
    ClientBudget.Client first = unfinished("first", 40);
    var unused = unfinished("second", 40);
    assertThat(first.resize(80)).isFalse();
    assertThat(evicted).isEmpty();
  }

  @Test
  void requestAboveTheWholeBudgetCostsOthersNothing() {
    var unused = unfinished("first", 40);
    ClientBudget.Client second = unfinished("second", 1);
    assertThat(second.resize(MAX_BYTES + 1)).isFalse();
    assertThat(evicted).isEmpty();
  }

  @Test
  void oneRequestMayTakeTheWholeBudget() {
    var unused = unfinished("first", 40);
    ClientBudget.Client second = unfinished("second", 1);
    assertThat(second.resize(MAX_BYTES)).isTrue();
    assertThat(evicted).containsExactly("first");
  }

  /** Guards against clients that open all connections and complete nothing. */
  @Test
  void unfinishedRequestsAreClosedForNewConnectionsBeforeIdleOnes() {
    var unusedIdle = open("idle");
    var unusedOther = open("other");
    var unusedBusy = unfinished("unfinished", 1);
    var unusedNew = open("new");
    assertThat(evicted).containsExactly("unfinished");
    var unusedNewer = open("newer");
    assertThat(evicted).containsExactly("unfinished", "idle").inOrder();
    assertThat(budget.connections()).isEqualTo(3);
  }

  @Test
  void newConnectionIsRefusedIfAllOthersAwaitResponses() {
    for (int i = 0; i < 3; i++) {
      unfinished("running", 1).onRequestKept();
    }
    assertThat(budget.open(() -> evicted.add("new"))).isEmpty();
    assertThat(evicted).isEmpty();
  }

  @Test
  void closedConnectionGivesBackItsMemoryOnce() {
    ClientBudget.Client client = unfinished("first", 40);
    client.close();
    client.close();
    client.onRequestBegun();
    client.onRequestEnded();
    assertThat(client.resize(1)).isFalse();
    assertThat(budget.heldBytes()).isEqualTo(0);
    assertThat(budget.connections()).isEqualTo(0);
    assertThat(budget.unfinishedRequests()).isEqualTo(0);
  }
}
