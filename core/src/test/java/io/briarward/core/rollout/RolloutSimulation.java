package io.briarward.core.rollout;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.RolloutPolicy;
import io.briarward.core.weights.AnnouncedVersion;
import io.briarward.core.weights.WeightAnnouncement;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Simulates two owners, two trainer connections and a table with faults, step by step, and checks
 * each answer.
 */
final class RolloutSimulation {
  static final String SERVICE = "s";
  static final int GROUPS = 24;
  static final int SAMPLES = 2;
  static final int BOUND = 1;

  private static final long STEP_MILLIS = 20;
  private static final int FINISH_ATTEMPTS = 2;

  private final FaultyTable table = new FaultyTable();
  private final Map<String, byte[]> objects = new HashMap<>();
  private final FakeEngine engine = new FakeEngine();
  private final RolloutKey key = new RolloutKey("o", "r");
  private final RolloutSpec spec = newSpec();
  private final Map<String, Long> cursorByGroup = new HashMap<>();
  private final Map<Long, Set<String>> groupsByCursor = new HashMap<>();
  private final Map<String, GroupResult> delivered = new HashMap<>();
  private final SimulatedOwner[] owners = new SimulatedOwner[2];
  private final SimulatedTrainerConnection[] connections = new SimulatedTrainerConnection[2];
  private long nowMillis;
  private long announced;
  private int ownersCreated;
  private boolean finished;

  RolloutSimulation() {
    RolloutPolicy policy = new RolloutPolicy("p", SERVICE, BOUND, 86_400_000, 0.5);
    RolloutHeader header = RolloutHeader.submit(spec, policy, nowMillis);
    table.commit(header.insert(key), FaultyTable.Fault.NONE);
    announce();
    for (int i = 0; i < 2; i++) {
      restartOwner(i);
      connections[i] = new SimulatedTrainerConnection(this, 0);
    }
  }

  private static RolloutSpec newSpec() {
    ImmutableList.Builder<GroupSpec> groups = ImmutableList.builder();
    SamplingParameters sampling = new SamplingParameters(1_000, 1, 1);
    for (int i = 0; i < GROUPS; i++) {
      groups.add(new GroupSpec("g" + i, "p", SAMPLES, sampling));
    }
    return new RolloutSpec(
        "r", SERVICE, "p", 1, groups.build(), Optional.empty(), Optional.empty());
  }

  /** Runs one step per number; each number selects the actor and the fault. */
  void run(List<Integer> schedule) {
    for (int move : schedule) {
      step(move, selectFault(move / 16));
    }
  }

  /** Runs without faults until a trainer connection has received all groups. */
  void runToEnd() {
    engine.loadVersion(announced);
    for (int round = 0; round < 1_000 && !finished; round++) {
      owners[0].step(FaultyTable.Fault.NONE, FINISH_ATTEMPTS);
      owners[1].step(FaultyTable.Fault.NONE, FINISH_ATTEMPTS);
      connections[0].step(FaultyTable.Fault.NONE, false);
      connections[1].step(FaultyTable.Fault.NONE, false);
      nowMillis += STEP_MILLIS;
    }
    assertThat(finished).isTrue();
    assertThat(cursorByGroup).hasSize(GROUPS);
  }

  private void step(int move, FaultyTable.Fault fault) {
    nowMillis += STEP_MILLIS;
    int choice = move / 64;
    switch (move % 16) {
      case 0, 1, 2 -> owners[0].step(fault, choice);
      case 3, 4, 5 -> owners[1].step(fault, choice);
      case 6, 7, 8 -> connections[0].step(fault, choice % 3 == 1);
      case 9, 10, 11 -> connections[1].step(fault, choice % 3 == 1);
      case 12 -> restartOwner(choice % 2);
      case 13 -> reconnect(choice);
      case 14 -> announce();
      default -> engine.loadVersion(announced);
    }
  }

  private static FaultyTable.Fault selectFault(int choice) {
    return switch (choice % 4) {
      case 2 -> FaultyTable.Fault.REJECTED;
      case 3 -> FaultyTable.Fault.RESPONSE_LOST;
      default -> FaultyTable.Fault.NONE;
    };
  }

  private void restartOwner(int index) {
    ownersCreated++;
    owners[index] = new SimulatedOwner(this, "owner" + ownersCreated);
  }

  private void reconnect(int choice) {
    int index = choice % 2;
    long oldCursor = Math.max(0, connections[index].cursor() - choice % 3);
    connections[index] = new SimulatedTrainerConnection(this, oldCursor);
  }

  private void announce() {
    AnnouncedVersion before = AnnouncedVersion.fromRow(table.read(AnnouncedVersion.key(SERVICE)));
    WeightAnnouncement next = new WeightAnnouncement(SERVICE, announced + 1);
    table.commit(before.announce(next, nowMillis).orElseThrow(), FaultyTable.Fault.NONE);
    announced++;
  }

  /** Checks that a cursor identifies the same groups in every answer. */
  void checkAnswer(long cursor, Set<String> groups) {
    Set<String> before = groupsByCursor.putIfAbsent(cursor, groups);
    assertWithMessage("groups of cursor %s", cursor)
        .that(before == null || before.equals(groups))
        .isTrue();
  }

  /** Checks a delivered group: complete, fresh, with correct spans and the same in each answer. */
  void checkFreshGroup(long cursor, GroupResult group, long announcedVersion) {
    Set<String> ids = new HashSet<>();
    for (Sample sample : group.samples()) {
      ids.add(sample.id());
      assertWithMessage("weight versions of %s", sample)
          .that(engine.hasCorrectSpans(sample))
          .isTrue();
      assertWithMessage("oldest version of %s", sample)
          .that(engine.oldestVersion(sample))
          .isAtLeast(announcedVersion - BOUND);
    }
    assertThat(ids).hasSize(SAMPLES);
    checkCursor(cursor, group.id());
    GroupResult before = delivered.putIfAbsent(group.id(), group);
    assertThat(before == null || before.equals(group)).isTrue();
  }

  /** Checks a delivered group whose samples were withheld as stale. */
  void checkStaleGroup(long cursor, String group) {
    checkCursor(cursor, group);
  }

  private void checkCursor(long cursor, String group) {
    Long before = cursorByGroup.putIfAbsent(group, cursor);
    assertWithMessage("cursor of %s", group).that(before == null || before == cursor).isTrue();
  }

  void onFinished() {
    finished = true;
  }

  RolloutView newView() {
    return RolloutView.create(key, table.read(key.header()).orElseThrow());
  }

  FaultyTable table() {
    return table;
  }

  Map<String, byte[]> objects() {
    return objects;
  }

  FakeEngine engine() {
    return engine;
  }

  RolloutKey key() {
    return key;
  }

  RolloutSpec spec() {
    return spec;
  }

  long nowMillis() {
    return nowMillis;
  }

  long announced() {
    return announced;
  }
}
