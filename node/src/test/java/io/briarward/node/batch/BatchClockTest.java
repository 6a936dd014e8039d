package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Range;
import io.briarward.core.batch.ItemResult;
import io.briarward.node.batch.BatchService.SubmitOutcome;
import io.briarward.node.batch.SamplerClient.RunOutcome;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests when items that no sampler takes are given up if their node misjudges the time. */
class BatchClockTest {
  private static final long MAX_WAIT_MILLIS = BatchCluster.TERMS.maxWaitMillis();
  private static final long STEP_MILLIS = 100;

  /** The tolerated delay until an item is given up; includes the longest error of the clock. */
  private static final long MAX_DELAY_MILLIS = 2_500;

  private final BatchCluster cluster = new BatchCluster();
  private final Map<String, Long> submittedAtMillis = new LinkedHashMap<>();
  private BatchCluster.Process process;

  @BeforeEach
  void startWithoutCapacity() {
    cluster.samplers.setOutcomes(call -> RunOutcome.NOT_RUN);
    process = cluster.start("a");
    cluster.advance(5_000);
  }

  private long nowMillis() {
    return cluster.scheduler.now(TimeUnit.MILLISECONDS);
  }

  private void submit(String id) {
    submittedAtMillis.put(id, nowMillis());
    assertThat(process.submit(BatchCluster.spec(id, 1))).isEqualTo(SubmitOutcome.ACCEPTED);
  }

  private void assertItemsAreGivenUpInTime() {
    Map<String, Long> lostAtMillis = new LinkedHashMap<>();
    while (lostAtMillis.size() < submittedAtMillis.size()) {
      cluster.advance(STEP_MILLIS);
      for (String id : submittedAtMillis.keySet()) {
        ImmutableList<ItemResult> results = process.results(id, 0).orElseThrow().results();
        if (!results.isEmpty()) {
          assertThat(results.get(0).succeeded()).isFalse();
          lostAtMillis.putIfAbsent(id, nowMillis());
        }
      }
    }
    submittedAtMillis.forEach(
        (id, atMillis) ->
            assertWithMessage("wait of batch %s", id)
                .that(lostAtMillis.get(id) - atMillis)
                .isIn(Range.closed(MAX_WAIT_MILLIS, MAX_WAIT_MILLIS + MAX_DELAY_MILLIS)));
  }

  @Test
  void itemsAreGivenUpAfterTheirMaximumWait() {
    submit("x");
    assertItemsAreGivenUpInTime();
  }

  /** A frozen node that handled a response late took the store's clock for earlier than it was. */
  @Test
  void itemsAreNotGivenUpEarlyAfterResponseThatWasHandledLate() {
    cluster.store.setFeedDelayMillis(1_800);
    for (int i = 0; i < 30; i++) {
      if (i == 10) {
        cluster.store.setFeedDelayMillis(0);
      }
      submit("x" + i);
      cluster.advance(STEP_MILLIS);
    }
    assertItemsAreGivenUpInTime();
  }

  /** The monotonic clock does not count the time of a suspension, so its node was behind. */
  @Test
  void itemsAreNotGivenUpEarlyAfterSuspension() {
    cluster.store.advanceClock(1_800);
    submit("x");
    assertItemsAreGivenUpInTime();
  }

  /**
   * Guards against items given up too early by a node whose time of day was set ahead: its clock
   * was the time of day.
   */
  @Test
  void itemsAreNotGivenUpEarlyWhenTimeOfDayIsSetAhead() {
    for (int i = 0; i < 30; i++) {
      submit("x" + i);
      cluster.advance(STEP_MILLIS);
    }
    cluster.advance(MAX_WAIT_MILLIS - 30 * STEP_MILLIS - 1_000);
    cluster.stepTimeOfDay(2_000);
    assertItemsAreGivenUpInTime();
  }

  @Test
  void itemsAreGivenUpInTimeWhenTimeOfDayIsSetBack() {
    submit("x");
    cluster.advance(MAX_WAIT_MILLIS / 2);
    cluster.stepTimeOfDay(-10_000);
    assertItemsAreGivenUpInTime();
  }

  /** The store does not tell its clock in time, and the steady clock does not count the time. */
  @Test
  void itemsAreNotGivenUpEarlyAfterSuspensionWhileTheFeedIsSilent() {
    cluster.store.setFeedDelayMillis(5_000);
    cluster.store.advanceClock(1_800);
    cluster.stepTimeOfDay(1_800);
    submit("x");
    cluster.store.setFeedDelayMillis(0);
    assertItemsAreGivenUpInTime();
  }
}
