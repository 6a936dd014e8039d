package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class BatchRunTest {
  private static final TextMemory MEMORY = TextMemory.of(1 << 20, bytes -> {});
  private static final BatchSpec SPEC =
      new BatchSpec(
          "batch", Optional.of("model"), 5, 1, ImmutableList.of(item("a"), item("b"), item("c")));

  private static BatchItem item(String id) {
    return item(id, 10);
  }

  private static BatchItem item(String id, int expectedTokens) {
    return new BatchItem(id, "group", "/x/" + id, ImmutableMap.of(), "", expectedTokens);
  }

  private static BatchTerms terms(boolean singleVersion) {
    return new BatchTerms("host", "route", "service", 2, 7_500, 40_000, singleVersion);
  }

  private static BatchRun run(boolean singleVersion) {
    return BatchRun.create(SPEC, terms(singleVersion), ImmutableSet.of(), MEMORY);
  }

  private static SampleEvent event(long id, String data) {
    return new SampleEvent(id, OptionalLong.empty(), data);
  }

  private static String next(BatchRun run, long nowMillis) {
    return run.startable(nowMillis).stream().map(BatchItem::id).findFirst().orElse("none");
  }

  @Test
  void itemsOfEqualLengthStartInSubmissionOrder() {
    BatchRun run = run(false);
    assertThat(next(run, 0)).isEqualTo("a");
    run.start("a", "v1");
    assertThat(next(run, 0)).isEqualTo("b");
    assertThat(run.running()).isEqualTo(1);
  }

  @Test
  void longestItemsStartFirstAndUnknownLengthsCountAsMean() {
    BatchSpec spec =
        new BatchSpec(
            "batch",
            Optional.of("model"),
            5,
            1,
            ImmutableList.of(
                item("short", 10), item("unknown", 0), item("long", 900), item("medium", 290)));
    BatchRun run = BatchRun.create(spec, terms(false), ImmutableSet.of(), MEMORY);
    List<String> order = new ArrayList<>();
    for (String next = next(run, 0); !next.equals("none"); next = next(run, 0)) {
      order.add(next);
      run.start(next, "v1");
    }
    assertThat(order).containsExactly("long", "unknown", "medium", "short").inOrder();
  }

  @Test
  void interruptedItemResumesBeforeShorterItems() {
    BatchSpec spec =
        new BatchSpec(
            "batch", Optional.of("model"), 5, 1, ImmutableList.of(item("b", 10), item("a", 90)));
    BatchRun run = BatchRun.create(spec, terms(false), ImmutableSet.of(), MEMORY);
    run.start("a", "v1");
    run.onInterrupted("a", 0);
    assertThat(next(run, 100)).isEqualTo("a");
  }

  @Test
  void listedItemsAreNotRun() {
    BatchRun run = BatchRun.create(SPEC, terms(false), ImmutableSet.of("a", "c"), MEMORY);
    assertThat(next(run, 0)).isEqualTo("b");
    run.start("b", "v1");
    assertThat(run.startable(0)).isEmpty();
  }

  @Test
  void completeStreamBecomesResult() {
    BatchRun run = run(false);
    run.start("a", "v1");
    assertThat(run.onVersion("a", 5)).isTrue();
    assertThat(run.onEvent("a", event(1, "x"))).isTrue();
    assertThat(run.onEvent("a", new SampleEvent(2, OptionalLong.of(6), "y"))).isTrue();
    assertThat(run.onEvent("a", event(3, "z"))).isTrue();
    run.onComplete("a");
    assertThat(run.results(10))
        .containsExactly(new ItemResult("a", true, "x\ny\nz", ImmutableList.of(5L, 6L)));
  }

  @Test
  void interruptedItemResumesAfterItsLastEvent() {
    BatchRun run = run(false);
    run.start("a", "v1");
    run.onVersion("a", 5);
    run.onEvent("a", event(1, "x"));
    run.onInterrupted("a", 0);
    assertThat(next(run, 0)).isEqualTo("b");
    assertThat(next(run, 1_000)).isEqualTo("a");
    assertThat(run.start("a", "v1").resumeAfter()).isEqualTo(OptionalLong.of(1));
    run.onVersion("a", 6);
    assertThat(run.onEvent("a", event(2, "y"))).isTrue();
    run.onComplete("a");
    assertThat(run.results(1).get(0).output()).isEqualTo("x\ny");
    assertThat(run.results(1).get(0).versions()).containsExactly(5L, 6L).inOrder();
  }

  @Test
  void singleVersionItemRestartsAfterInterruption() {
    BatchRun run = run(true);
    run.start("a", "v1");
    run.onVersion("a", 5);
    run.onEvent("a", event(1, "x"));
    run.onInterrupted("a", 0);
    assertThat(run.start("a", "v1").resumeAfter()).isEqualTo(OptionalLong.empty());
    assertThat(run.onVersion("a", 6)).isTrue();
    assertThat(run.onEvent("a", event(1, "y"))).isTrue();
    assertThat(run.onEvent("a", new SampleEvent(2, OptionalLong.of(7), "z"))).isFalse();
  }

  @Test
  void versionBelowMinimumIsRejected() {
    BatchRun run = run(false);
    run.start("a", "v1");
    assertThat(run.onVersion("a", 4)).isFalse();
  }

  @Test
  void missingAndRepeatedEventsAreRejected() {
    BatchRun run = run(false);
    run.start("a", "v1");
    run.onVersion("a", 5);
    run.onEvent("a", event(1, "x"));
    assertThat(run.onEvent("a", event(3, "z"))).isFalse();
    assertThat(run.onEvent("a", event(1, "x"))).isFalse();
  }

  @Test
  void itemFailsAfterMaxFailuresNotInterruptions() {
    BatchRun run = run(false);
    run.start("a", "v1");
    run.onFailed("a", 0);
    assertThat(run.hasResults()).isFalse();
    run.start("a", "v1");
    run.onInterrupted("a", 0);
    run.start("a", "v1");
    run.onFailed("a", 0);
    assertThat(run.results(10)).containsExactly(ItemResult.lost("a"));
    assertThat(run.unfinished()).isEqualTo(2);
  }

  @Test
  void impossibleItemFailsAtOnce() {
    BatchRun run = run(false);
    run.start("b", "v1");
    run.onImpossible("b");
    assertThat(run.results(10)).containsExactly(ItemResult.lost("b"));
  }

  @Test
  void failingWaitingItemsLeavesRunningItems() {
    BatchRun run = run(false);
    run.start("a", "v1");
    run.failWaiting();
    assertThat(run.results(10)).containsExactly(ItemResult.lost("b"), ItemResult.lost("c"));
    assertThat(run.running()).isEqualTo(1);
    run.removeResults(2);
    assertThat(run.hasResults()).isFalse();
  }

  /** Starts item {@code a} at software v1 and interrupts it after its first event. */
  private static BatchRun interruptedRun() {
    BatchRun run = run(false);
    run.start("a", "v1");
    run.onVersion("a", 5);
    run.onEvent("a", event(1, "x"));
    run.onInterrupted("a", 0);
    return run;
  }

  @Test
  void interruptedTextResumesAtTheSoftwareVersionThatBeganIt() {
    BatchRun run = interruptedRun();
    assertThat(run.resumableAt("a")).isEqualTo(Optional.of("v1"));
    assertThat(run.start("a", "v1").resumeAfter()).isEqualTo(OptionalLong.of(1));
  }

  @Test
  void interruptedTextBeginsAnewAtAnotherSoftwareVersion() {
    BatchRun run = interruptedRun();
    assertThat(run.start("a", "v2").resumeAfter()).isEqualTo(OptionalLong.empty());
    assertThat(run.resumableAt("a")).isEmpty();
    run.onVersion("a", 5);
    run.onEvent("a", event(1, "y"));
    run.onEvent("a", event(2, "z"));
    run.onComplete("a");
    assertThat(run.results(1).get(0).output()).isEqualTo("y\nz");
  }

  @Test
  void runWithoutEventsDoesNotBindTheText() {
    BatchRun run = run(false);
    run.start("a", "v1");
    run.onInterrupted("a", 0);
    assertThat(run.resumableAt("a")).isEmpty();
  }

  @Test
  void textThatWaitsToResumeDoesNotHoldBackOtherItems() {
    BatchRun run = interruptedRun();
    assertThat(run.startable(20).stream().map(BatchItem::id))
        .containsExactly("a", "b", "c")
        .inOrder();
    assertThat(run.hasWaitedToResume("a", 500)).isFalse();
    assertThat(run.hasWaitedToResume("a", 520)).isTrue();
  }

  private static BatchRun runWithin(TextMemory memory) {
    return BatchRun.create(SPEC, terms(false), ImmutableSet.of(), memory);
  }

  /** Streams of whole events without end filled the memory of the process. */
  @Test
  void itemWhoseTextIsTooLongBeginsAnew() {
    TextMemory memory = TextMemory.of(10_000, bytes -> {});
    BatchRun run = runWithin(memory);
    run.onVersion(run.start("a", "v1").item().id(), 5);
    run.onVersion(run.start("b", "v1").item().id(), 5);
    assertThat(run.onEvent("b", event(1, "x"))).isTrue();
    long id = 1;
    while (run.onEvent("a", event(id, "endless"))) {
      assertThat(memory.heldBytes()).isAtMost(10_000);
      id++;
    }
    assertThat(run.onEvent("a", event(id + 1, "endless"))).isFalse();
    run.onInterrupted("a", 0);
    assertThat(run.start("a", "v2").resumeAfter()).isEqualTo(OptionalLong.empty());
    run.onVersion("a", 5);
    assertThat(run.onEvent("a", event(1, "short"))).isTrue();
    run.onComplete("a");
    assertThat(run.onEvent("b", event(2, "y"))).isTrue();
    run.onComplete("b");
    assertThat(run.results(2).stream().map(ItemResult::output).toList())
        .containsExactly("short", "x\ny");
    assertThat(memory.heldBytes()).isEqualTo(0);
  }

  /** The stream of an item whose text is gone may end before its next event. */
  @Test
  void itemWhoseTextWasDroppedDoesNotSucceedWithoutIt() {
    TextMemory memory = TextMemory.of(1_000, bytes -> {});
    BatchRun run = runWithin(memory);
    run.onVersion(run.start("a", "v1").item().id(), 5);
    run.onVersion(run.start("b", "v1").item().id(), 5);
    assertThat(run.onEvent("a", event(1, "x".repeat(500)))).isTrue();
    assertThat(run.onEvent("b", event(1, "y".repeat(400)))).isTrue();
    run.onComplete("a");
    assertThat(run.hasResults()).isFalse();
    assertThat(run.start("a", "v1").resumeAfter()).isEqualTo(OptionalLong.empty());
  }

  @Test
  void discardedTextsTakeNoMemory() {
    TextMemory memory = TextMemory.of(1_000, bytes -> {});
    BatchRun run = runWithin(memory);
    run.onVersion(run.start("a", "v1").item().id(), 5);
    assertThat(run.onEvent("a", event(1, "x"))).isTrue();
    run.discardTexts();
    assertThat(memory.heldBytes()).isEqualTo(0);
  }
}
