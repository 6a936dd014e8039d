package io.briarward.experiments.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.usage.CopyPlacement;
import io.briarward.core.usage.ReportAction;
import io.briarward.core.usage.UsageSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** Simulates VMs that serve requests and report usage in virtual time while VMs are killed. */
final class UsageSimulation {
  static final UsageSettings SETTINGS = UsageSettings.defaults();

  private static final int VMS = 9;
  private static final int DATA_CENTRES = 3;
  private static final long STEP_MILLIS = 50;
  private static final long LOAD_MILLIS = 3_600_000;
  private static final long SETTLE_MILLIS = 1_200_000;
  private static final long RESTART_DELAY_MILLIS = 30_000;
  private static final long OUTAGE_START_MILLIS = 900_000;
  private static final long OUTAGE_END_MILLIS = 1_500_000;

  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final CountingStore store;
  private final int copies;
  private final long killEveryMillis;
  private final boolean outage;
  private final Map<String, UsageNode> alive = new HashMap<>();
  private final Map<String, JsonNode> accepted = new HashMap<>();
  private final List<Long> reportDelaysMillis = new ArrayList<>();
  private int starts;
  private int kills;
  private long ran;
  private long answered;

  UsageSimulation(long seed, int copies, long killEveryMillis, boolean outage) {
    this.random = new Random(seed);
    this.store = new CountingStore(time, random);
    this.copies = copies;
    this.killEveryMillis = killEveryMillis;
    this.outage = outage;
  }

  /** Totals of a run, in requests and milliseconds. */
  record Result(
      int kills, long ran, long answered, long billed, long medianLateMillis, long maxLateMillis) {}

  Result run() {
    for (int i = 0; i < VMS; i++) {
      start("vm-" + i);
    }
    for (long i = 0; i < LOAD_MILLIS + SETTLE_MILLIS; i += STEP_MILLIS) {
      boolean load = i < LOAD_MILLIS;
      store.setUnavailable(outage && i >= OUTAGE_START_MILLIS && i < OUTAGE_END_MILLIS);
      if (load && killEveryMillis > 0 && i % killEveryMillis == killEveryMillis - STEP_MILLIS) {
        killRandomVm();
      }
      for (UsageNode node : ImmutableList.copyOf(alive.values())) {
        node.step(load && random.nextInt(4) == 0);
      }
      time.advanceBy(STEP_MILLIS);
    }
    reportDelaysMillis.sort(Long::compare);
    long median =
        reportDelaysMillis.isEmpty() ? 0 : reportDelaysMillis.get(reportDelaysMillis.size() / 2);
    long max =
        reportDelaysMillis.isEmpty() ? 0 : reportDelaysMillis.get(reportDelaysMillis.size() - 1);
    return new Result(kills, ran, answered, billed(), median, max);
  }

  VirtualTime time() {
    return time;
  }

  CountingStore store() {
    return store;
  }

  Random random() {
    return random;
  }

  int copies() {
    return copies;
  }

  Optional<UsageNode> alive(String vmId) {
    return Optional.ofNullable(alive.get(vmId));
  }

  ImmutableSet<String> peersOf(String vmId) {
    if (copies == 0) {
      return ImmutableSet.of();
    }
    ImmutableList<CopyPlacement.Candidate> others =
        alive.keySet().stream()
            .sorted()
            .map(UsageSimulation::candidate)
            .collect(ImmutableList.toImmutableList());
    return CopyPlacement.choose(candidate(vmId), others, copies);
  }

  void countRun() {
    ran++;
  }

  void countAnswered(long count) {
    answered += count;
  }

  void accept(ReportAction.Send send) {
    String key = send.organisation() + '/' + send.windowStartMillis();
    if (accepted.putIfAbsent(key, send.figures()) == null) {
      long endMillis = send.windowStartMillis() + SETTINGS.windowMillis();
      reportDelaysMillis.add(time.nowMillis() - endMillis);
    }
  }

  private static CopyPlacement.Candidate candidate(String vmId) {
    int index = Integer.parseInt(vmId.substring("vm-".length()));
    return new CopyPlacement.Candidate(vmId, "dc-" + index % DATA_CENTRES);
  }

  private void start(String vmId) {
    starts++;
    alive.put(vmId, new UsageNode(this, vmId, vmId + '.' + starts));
  }

  private void killRandomVm() {
    List<String> ids = alive.keySet().stream().sorted().toList();
    String vmId = ids.get(random.nextInt(ids.size()));
    alive.remove(vmId);
    kills++;
    time.after(RESTART_DELAY_MILLIS, () -> start(vmId));
  }

  private long billed() {
    long sum = 0;
    for (JsonNode figures : accepted.values()) {
      for (JsonNode row : figures.path("usage")) {
        sum += row.path("requests").asLong();
      }
    }
    return sum;
  }
}
