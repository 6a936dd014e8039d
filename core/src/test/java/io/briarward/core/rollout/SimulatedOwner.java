package io.briarward.core.rollout;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.weights.AnnouncedVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A shard owner that performs one operation per step, so that other actors can interleave. */
final class SimulatedOwner {
  private final RolloutSimulation simulation;
  private final String name;
  private final RolloutView view;
  private final RolloutPlanner planner;
  private final List<String> running = new ArrayList<>();
  private final List<String> cancelled = new ArrayList<>();
  private final Deque<Outcome> unrecorded = new ArrayDeque<>();
  private int phase;
  private int objectCount;

  SimulatedOwner(RolloutSimulation simulation, String name) {
    this.simulation = simulation;
    this.name = name;
    this.view = simulation.newView();
    ImmutableMap<Integer, GroupSpec> groups = view.header().groupsOf(simulation.spec(), 0);
    this.planner =
        RolloutPlanner.create(name, groups, view.header().bound(), StragglerPolicy.of(0.5));
  }

  void step(FaultyTable.Fault fault, int choice) {
    phase = (phase + 1) % 5;
    switch (phase) {
      case 0 -> refresh(fault);
      case 1 -> poll();
      case 2, 3 -> generate(choice);
      default -> record(fault);
    }
  }

  private void refresh(FaultyTable.Fault fault) {
    if (fault != FaultyTable.Fault.NONE) {
      return;
    }
    String prefix = simulation.key().prefix();
    view.addDeliveries(
        simulation.table().scan(RolloutKey.DELIVERIES, prefix, view.lastDeliveryKey()));
    view.addOutcomes(simulation.table().scan(RolloutKey.OUTCOMES, prefix, view.lastOutcomeKey()));
    view.updateAnnounced(simulation.table().read(AnnouncedVersion.key(RolloutSimulation.SERVICE)));
    view.updatePlanner(planner);
  }

  private void poll() {
    planner.poll(simulation.nowMillis(), 4).forEach(this::apply);
  }

  private void apply(RolloutAction action) {
    if (action instanceof RolloutAction.Dispatch) {
      running.add(action.attemptId());
    } else {
      running.remove(action.attemptId());
      cancelled.add(action.attemptId());
    }
  }

  private void generate(int choice) {
    for (String attempt : ImmutableList.copyOf(running)) {
      generateChunk(attempt);
      if (choice % 7 == 0) {
        running.remove(attempt);
        planner.onFailed(attempt, simulation.nowMillis());
      } else if (choice % 2 == 0) {
        running.remove(attempt);
        planner.onFinished(attempt, "stop", simulation.nowMillis()).forEach(this::apply);
      }
    }
    cancelled.forEach(this::generateChunk);
    storeCompleted();
  }

  private void generateChunk(String attempt) {
    long version = simulation.engine().version();
    planner.onChunk(
        attempt, simulation.engine().generateToken(), 1, version, simulation.nowMillis());
  }

  private void storeCompleted() {
    ImmutableList<RolloutPlanner.CompletedGroup> completed = planner.takeCompleted();
    if (completed.isEmpty()) {
      return;
    }
    String object = name + "-" + objectCount++;
    ImmutableList<GroupResult> results =
        completed.stream()
            .map(RolloutPlanner.CompletedGroup::result)
            .collect(ImmutableList.toImmutableList());
    Map<String, byte[]> objectStore = simulation.objects();
    objectStore.put(object, RolloutCodec.printGroups(results));
    unrecorded.add(Outcome.of(object, completed));
  }

  private void record(FaultyTable.Fault fault) {
    Outcome outcome = unrecorded.peek();
    if (outcome == null) {
      return;
    }
    if (view.isRecorded(outcome.object())) {
      unrecorded.remove();
      return;
    }
    Optional<CommitResult> result = simulation.table().commit(view.record(outcome), fault);
    if (result.isPresent() && result.get().committed()) {
      unrecorded.remove();
    }
  }
}
