package io.briarward.core.admission;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.admission.AdmissionControl.Outcome;
import io.briarward.core.admission.AdmissionDecisions.RejectedRequest;
import io.briarward.core.configuration.Organisation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class AdmissionProperties {
  private static final long SERVICE_MILLIS = 100;
  private static final int CAPACITY = 5;

  @Property(seed = "20260401", tries = 60)
  void slotsAndSharesAreNeverExceeded(
      @ForAll @DoubleRange(min = 0.2, max = 5) double load, @ForAll long seed) {
    Simulation simulation = new Simulation(seed, 2);
    for (int i = 0; i < 500; i++) {
      simulation.step(load, load);
      assertThat(simulation.running.size()).isAtMost(CAPACITY);
      assertThat(simulation.runningOf("a")).isAtMost(Simulation.MAX_CONCURRENT);
    }
  }

  @Property(seed = "20260402", tries = 60)
  void everyRequestIsDecidedOnceAndNoneStartsAfterItsDeadline(
      @ForAll @DoubleRange(min = 0.2, max = 5) double load, @ForAll long seed) {
    Simulation simulation = new Simulation(seed, 2);
    simulation.run(300, load, load);
    simulation.run(300, 0, 0);
    assertThat(simulation.decided).isEqualTo(simulation.offered);
    assertThat(simulation.decidedTwice).isFalse();
    assertThat(simulation.startedAfterDeadline).isFalse();
  }

  @Property(seed = "20260403", tries = 30)
  void otherOrganisationKeepsItsServiceDuringFlood(
      @ForAll @IntRange(min = 2, max = 30) int flood, @ForAll long seed) {
    Simulation simulation = new Simulation(seed, 1);
    simulation.run(1_000, flood, 0.3);
    assertThat((double) simulation.answered("b")).isAtLeast(0.95 * simulation.offered("b"));
  }

  @Property(seed = "20260404", tries = 30)
  void contendedServiceFollowsWeights(
      @ForAll @IntRange(min = 1, max = 4) int weight, @ForAll long seed) {
    Simulation simulation = new Simulation(seed, weight);
    simulation.run(2_000, 4, 4);
    double ratio = (double) simulation.answered("a") / simulation.answered("b");
    assertThat(ratio).isWithin(0.15 * weight).of(weight);
  }

  @Property(seed = "20260405", tries = 30)
  void neitherClassStarves(@ForAll long seed) {
    Simulation simulation = new Simulation(seed, 1);
    simulation.rolloutShare = 0.5;
    simulation.run(2_000, 2, 2);
    double rollouts = simulation.answeredRollouts;
    double all = simulation.answered("a") + simulation.answered("b");
    assertThat(rollouts / all).isAtLeast(0.15);
    assertThat((all - rollouts) / all).isAtLeast(0.5);
  }

  /** Simulates, in virtual time, a node whose service answers each request after a fixed time. */
  private static final class Simulation {
    static final int MAX_CONCURRENT = 4;
    private static final long STEP_MILLIS = 10;
    private static final long DUE_MILLIS = 500;

    private final AdmissionControl control = AdmissionControl.create();
    private final SplittableRandom random;
    private final Map<Long, Long> running = new HashMap<>();
    private final Map<Long, AdmissionRequest> requests = new HashMap<>();
    private final Set<Long> decidedIds = new HashSet<>();
    private final Map<String, Integer> offeredBy = new HashMap<>();
    private final Map<String, Integer> answeredBy = new HashMap<>();
    private double rolloutShare;
    private int offered;
    private int decided;
    private int answeredRollouts;
    private boolean decidedTwice;
    private boolean startedAfterDeadline;
    private long nowMillis;

    Simulation(long seed, double weightOfA) {
      random = new SplittableRandom(seed);
      control.replaceOrganisations(
          ImmutableList.of(
              new Organisation("a", "vatuwaqa", weightOfA, 1e6, MAX_CONCURRENT),
              new Organisation("b", "kitamon", 1, 1e6, 1_000)),
          1,
          0);
      control.setCapacity("s", CAPACITY);
    }

    void run(int steps, double loadOfA, double loadOfB) {
      for (int i = 0; i < steps; i++) {
        step(loadOfA, loadOfB);
      }
    }

    /** Advances time by one step; loads are multiples of the capacity. */
    void step(double loadOfA, double loadOfB) {
      nowMillis += STEP_MILLIS;
      finishDue();
      arrive("a", loadOfA);
      arrive("b", loadOfB);
      AdmissionDecisions decisions = control.poll(nowMillis);
      decisions.admitted().forEach(this::start);
      decisions.refused().stream().map(RejectedRequest::id).forEach(this::onDecided);
    }

    private void finishDue() {
      List<Long> due = new ArrayList<>(running.keySet());
      due.removeIf(id -> running.get(id) > nowMillis);
      for (long id : due) {
        running.remove(id);
        AdmissionRequest request = requests.get(id);
        boolean inTime = nowMillis <= request.dueAtMillis();
        control.onFinished(id, inTime ? Outcome.IN_TIME : Outcome.LATE, nowMillis);
        answeredBy.merge(request.organisation(), inTime ? 1 : 0, Integer::sum);
        answeredRollouts += inTime && request.priority() == Priority.ROLLOUT ? 1 : 0;
      }
    }

    private void arrive(String organisation, double load) {
      double expected = load * CAPACITY * STEP_MILLIS / SERVICE_MILLIS;
      int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
      for (int i = 0; i < count; i++) {
        offered++;
        offeredBy.merge(organisation, 1, Integer::sum);
        long id = offered;
        Priority priority = random.nextDouble() < rolloutShare ? Priority.ROLLOUT : Priority.LIVE;
        AdmissionRequest request =
            new AdmissionRequest(id, "s", organisation, priority, 1, nowMillis + DUE_MILLIS);
        requests.put(id, request);
        control
            .offer(request, nowMillis)
            .match(() -> start(id), () -> false, failure -> onDecided(id));
      }
    }

    private boolean start(long id) {
      startedAfterDeadline |= nowMillis > requests.get(id).dueAtMillis();
      running.put(id, nowMillis + SERVICE_MILLIS);
      return onDecided(id);
    }

    private boolean onDecided(long id) {
      decided++;
      decidedTwice |= !decidedIds.add(id);
      return true;
    }

    int runningOf(String organisation) {
      int count = 0;
      for (long id : running.keySet()) {
        count += requests.get(id).organisation().equals(organisation) ? 1 : 0;
      }
      return count;
    }

    int answered(String organisation) {
      return answeredBy.getOrDefault(organisation, 0);
    }

    int offered(String organisation) {
      return offeredBy.getOrDefault(organisation, 0);
    }
  }
}
