package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Plays live requests with a deadline beside the reward calls of groups that end together.
 *
 * <p>Sizes are those of a service of four upstreams with six slots, quotes that take 24 ms and must
 * be answered in 150 ms, and calls that take 76 ms; three groups of 16 end at once on each of three
 * nodes. An upstream queues what exceeds its slots.
 */
class RewardPacingTest {
  private static final int UPSTREAMS = 4;
  private static final int SLOTS = 6;
  private static final int NODES = 3;
  private static final int CALLS_PER_BURST = 48;
  private static final long QUOTE_MILLIS = 24;
  private static final long CALL_MILLIS = 76;
  private static final long GOAL_MILLIS = 150;
  private static final long STEP_DUE_MILLIS = 7_500;

  @FunctionalInterface
  private interface Pacing {
    boolean hasRoom(int inFlight, int slots);
  }

  /** What callers and trainers get. */
  private record Outcome(double quotesInTime, long lastScoreMillis) {}

  private record Request(int node, int upstream, long arrivalMillis, boolean isQuote) {
    long workMillis() {
      return isQuote ? QUOTE_MILLIS : CALL_MILLIS;
    }
  }

  private record Completion(long atMillis, Request request) {}

  /** Advances in steps of one millisecond; all random draws have a fixed seed. */
  private static Outcome play(Pacing pacing) {
    Random random = new Random(7);
    List<List<Request>> queues = new ArrayList<>();
    int[] running = new int[UPSTREAMS];
    int[][] inFlight = new int[NODES][UPSTREAMS];
    int[] unsent = new int[NODES];
    for (int i = 0; i < UPSTREAMS; i++) {
      queues.add(new ArrayList<>());
    }
    PriorityQueue<Completion> completions =
        new PriorityQueue<>(Comparator.comparingLong(Completion::atMillis));
    int quotes = 0;
    int inTime = 0;
    long lastScoreMillis = 0;
    for (long now = 0; now < 4_000; now++) {
      while (!completions.isEmpty() && completions.peek().atMillis() <= now) {
        Request done = completions.remove().request();
        running[done.upstream()]--;
        inFlight[done.node()][done.upstream()]--;
        if (!done.isQuote()) {
          lastScoreMillis = now;
        } else if (now - done.arrivalMillis() <= GOAL_MILLIS) {
          inTime++;
        }
      }
      if (now == 500) {
        Arrays.fill(unsent, CALLS_PER_BURST);
      }
      if (random.nextInt(10) == 0) {
        quotes++;
        send(random.nextInt(NODES), now, true, inFlight, queues);
      }
      for (int node = 0; node < NODES; node++) {
        while (unsent[node] > 0 && pacing.hasRoom(inFlight[node][least(inFlight[node])], SLOTS)) {
          unsent[node]--;
          send(node, now, false, inFlight, queues);
        }
      }
      for (int i = 0; i < UPSTREAMS; i++) {
        while (running[i] < SLOTS && !queues.get(i).isEmpty()) {
          Request next = queues.get(i).remove(0);
          running[i]++;
          completions.add(new Completion(now + next.workMillis(), next));
        }
      }
    }
    return new Outcome((double) inTime / quotes, lastScoreMillis - 500);
  }

  private static void send(
      int node, long now, boolean isQuote, int[][] inFlight, List<List<Request>> queues) {
    int upstream = least(inFlight[node]);
    inFlight[node][upstream]++;
    queues.get(upstream).add(new Request(node, upstream, now, isQuote));
  }

  private static int least(int[] counts) {
    int least = 0;
    for (int i = 1; i < counts.length; i++) {
      least = counts[i] < counts[least] ? i : least;
    }
    return least;
  }

  @Test
  void quotesAreInTimeAndGroupsCompleteEarlyWhileGroupsEndTogether() {
    Outcome paced = play(RewardPacing::hasRoom);
    assertThat(paced.quotesInTime()).isAtLeast(0.99);
    assertThat(paced.lastScoreMillis()).isAtMost(STEP_DUE_MILLIS / 4);
  }

  @Test
  void withoutPacingQuotesAreLate() {
    Outcome unpaced = play((inFlight, slots) -> true);
    assertThat(unpaced.quotesInTime()).isLessThan(play(RewardPacing::hasRoom).quotesInTime());
  }

  @Test
  void upstreamWithOneSlotTakesOneCall() {
    assertThat(RewardPacing.hasRoom(0, 1)).isTrue();
    assertThat(RewardPacing.hasRoom(1, 1)).isFalse();
  }
}
