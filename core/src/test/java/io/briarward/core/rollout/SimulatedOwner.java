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

/** An owner that does one operation per step, so that others can come between any two. */
final class SimulatedOwner {
  private final RolloutSimulation world;
  private final String name;
  private final RolloutView view;
  private final RolloutPlanner planner;
  private final List<String> running = new ArrayList<>();
  private final List<String> cancelled = new ArrayList<>();
  private final Deque<Outcome> unrecorded = new ArrayDeque<>();
  private int phase;
  private int objects;

  SimulatedOwner(RolloutSimulation world, String name) {
    this.world = world;
    this.name = name;
    this.view = world.newView();
    ImmutableMap<Integer, GroupSpec> groups = view.header().groupsOf(world.spec(), 0);
    this.planner =
        RolloutPlanner.create(name, groups, view.header().bound(), StragglerPolicy.of(0.5));
  }

  void step(FaultyTable.Fault fault, int choice) {
    phase = (phase + 1) % 5;
    switch (phase) {
      case 0 -> refresh(fault);
      case 1 -> poll();
      case 2, 3 -> produce(choice);
      default -> record(fault);
    }
  }

  private void refresh(FaultyTable.Fault fault) {
    if (fault != FaultyTable.Fault.NONE) {
      return;
    }
    String prefix = world.key().prefix();
    view.learnDeliveries(world.table().scan(RolloutKey.DELIVERIES, prefix, view.lastDeliveryKey()));
    view.learnOutcomes(world.table().scan(RolloutKey.OUTCOMES, prefix, view.lastOutcomeKey()));
    view.learnAnnounced(world.table().read(AnnouncedVersion.key(RolloutSimulation.SERVICE)));
    view.inform(planner);
  }

  private void poll() {
    planner.poll(world.nowMillis(), 4).forEach(this::act);
  }

  private void act(RolloutAction action) {
    if (action instanceof RolloutAction.Dispatch) {
      running.add(action.attemptId());
    } else {
      running.remove(action.attemptId());
      cancelled.add(action.attemptId());
    }
  }

  private void produce(int choice) {
    for (String attempt : ImmutableList.copyOf(running)) {
      chunk(attempt);
      if (choice % 7 == 0) {
        running.remove(attempt);
        planner.failed(attempt, world.nowMillis());
      } else if (choice % 2 == 0) {
        running.remove(attempt);
        planner.finished(attempt, "stop", world.nowMillis()).forEach(this::act);
      }
    }
    cancelled.forEach(this::chunk);
    store();
  }

  private void chunk(String attempt) {
    long version = world.engine().version();
    planner.chunk(attempt, world.engine().produce(), 1, version, world.nowMillis());
  }

  private void store() {
    ImmutableList<RolloutPlanner.CompletedGroup> completed = planner.takeCompleted();
    if (completed.isEmpty()) {
      return;
    }
    String object = name + "-" + objects++;
    ImmutableList<GroupResult> results =
        completed.stream()
            .map(RolloutPlanner.CompletedGroup::result)
            .collect(ImmutableList.toImmutableList());
    Map<String, byte[]> objectStore = world.objects();
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
    Optional<CommitResult> result = world.table().commit(view.record(outcome), fault);
    if (result.isPresent() && result.get().committed()) {
      unrecorded.remove();
    }
  }
}
