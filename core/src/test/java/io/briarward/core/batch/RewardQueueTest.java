package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RewardQueueTest {
  private final RewardQueue queue = new RewardQueue();

  private static BatchItem item(String id, String group) {
    RewardCall call = new RewardCall("r-" + id, "host", "/r/" + id, "");
    return new BatchItem(id, group, "/x/" + id, ImmutableMap.of(), "", 10, Optional.of(call));
  }

  private String next(long nowMillis, ImmutableMap<String, Integer> unfinished) {
    return queue
        .next(nowMillis, group -> unfinished.getOrDefault(group, 1), item -> true)
        .map(BatchItem::id)
        .orElse("none");
  }

  @Test
  void textsOfTheGroupNearestToCompletionComeFirst() {
    queue.add(item("a", "g1"));
    queue.add(item("b", "g2"));
    queue.add(item("c", "g2"));
    assertThat(next(0, ImmutableMap.of("g1", 5, "g2", 2))).isEqualTo("b");
    queue.onStarted("b");
    assertThat(next(0, ImmutableMap.of("g1", 5, "g2", 2))).isEqualTo("c");
    assertThat(next(0, ImmutableMap.of("g1", 1, "g2", 2))).isEqualTo("a");
  }

  @Test
  void textsOfEqualGroupsAreScoredInTheOrderInWhichTheyEnded() {
    queue.add(item("b", "g1"));
    queue.add(item("a", "g2"));
    assertThat(next(0, ImmutableMap.of())).isEqualTo("b");
  }

  @Test
  void itemsThatAreNotAllowedArePassedOver() {
    queue.add(item("a", "g1"));
    queue.add(item("b", "g1"));
    Optional<BatchItem> next = queue.next(0, group -> 1, each -> !each.id().equals("a"));
    assertThat(next.map(BatchItem::id)).isEqualTo(Optional.of("b"));
  }

  @Test
  void interruptedCallIsRepeatedAfterDelayThatDoubles() {
    queue.add(item("a", "g1"));
    queue.onStarted("a");
    assertThat(next(0, ImmutableMap.of())).isEqualTo("none");
    queue.onInterrupted("a", 0);
    assertThat(next(49, ImmutableMap.of())).isEqualTo("none");
    assertThat(next(50, ImmutableMap.of())).isEqualTo("a");
    queue.onStarted("a");
    queue.onInterrupted("a", 50);
    assertThat(next(149, ImmutableMap.of())).isEqualTo("none");
    assertThat(next(150, ImmutableMap.of())).isEqualTo("a");
  }

  @Test
  void onlyFailuresAreCounted() {
    queue.add(item("a", "g1"));
    queue.onStarted("a");
    queue.onInterrupted("a", 0);
    queue.onStarted("a");
    assertThat(queue.onFailed("a", 0)).isEqualTo(1);
    queue.onStarted("a");
    assertThat(queue.onFailed("a", 0)).isEqualTo(2);
  }

  @Test
  void textWaitsUnlessItsCallIsInFlight() {
    queue.add(item("a", "g1"));
    assertThat(queue.isWaiting("a")).isTrue();
    queue.onStarted("a");
    assertThat(queue.isWaiting("a")).isFalse();
    queue.remove("a");
    assertThat(queue.size()).isEqualTo(0);
  }
}
