package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/**
 * Checks the bound on the requests that a cold upstream gets, while nodes start one after the
 * other, lose the store in either direction, are suspended, are killed and replaced, leave and
 * return. Every node sends whenever it may, also just after a suspension and before it handles
 * anything else.
 */
class ColdUpstreamsProperties {
  private static final long STEP_MILLIS = 25;
  private static final long DURATION_MILLIS = 90_000;
  private static final long HEARTBEAT_MILLIS = 1_000;
  private static final long UPDATE_MILLIS = 250;
  private static final long MAX_FEED_PAUSE_MILLIS = 500;
  private static final long STALE_MILLIS = 2_000;
  private static final long DEAD_MILLIS = 3_500;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final UpstreamEntry upstream =
      new UpstreamEntry(
          "u",
          "orders",
          "nadi",
          "10.0.0.1",
          80,
          1,
          4,
          false,
          false,
          "1",
          ImmutableMap.of(),
          600_000);

  /** A write to the store's table of nodes; a deletion if {@code process} is negative. */
  private record Write(String name, int process, boolean established) {}

  private final class Store {
    final List<Write> log = new ArrayList<>();
    final TreeMap<String, Write> rows = new TreeMap<>();

    void put(Write write) {
      log.add(write);
      if (write.process() < 0) {
        rows.remove(write.name());
      } else {
        rows.put(write.name(), write);
      }
    }
  }

  /** A process on a VM, with the inputs that the registry of nodes gives to its decisions. */
  private final class Process {
    final String name;
    final int id;
    final LimitShares shares;
    final RequestLimits limits;
    final SenderView view;
    int position = -1;
    long rowsAtMillis = NEVER;
    long heartbeatAtMillis = NEVER;
    long heartbeatsSinceMillis = Long.MAX_VALUE / 2;
    long nextHeartbeatMillis;
    long nextPollMillis;
    long nextUpdateMillis;

    Process(String name, int id, FleetService service, FleetBounds bounds, long nowMillis) {
      this.name = name;
      this.id = id;
      shares = LimitShares.create(name);
      limits = new RequestLimits(shares);
      view = SenderView.create(name);
      shares.setSenders(view);
      limits.cold().setBounds(bounds);
      limits.cold().setServices(ImmutableMap.of("orders", service));
      limits.cold().onRow(upstream, nowMillis);
      nextHeartbeatMillis = nowMillis;
      nextPollMillis = nowMillis;
      nextUpdateMillis = nowMillis + UPDATE_MILLIS;
    }

    void step(Store store, Vm vm, long nowMillis, Random random) {
      if (nowMillis >= nextHeartbeatMillis) {
        nextHeartbeatMillis = nowMillis + HEARTBEAT_MILLIS;
        if (nowMillis >= vm.noWritesUntilMillis) {
          store.put(new Write(name, id, view.isEstablished()));
          if (nowMillis - heartbeatAtMillis >= STALE_MILLIS) {
            heartbeatsSinceMillis = nowMillis;
          }
          heartbeatAtMillis = nowMillis;
        }
      }
      if (nowMillis >= nextPollMillis) {
        nextPollMillis = nowMillis + 1 + random.nextInt((int) MAX_FEED_PAUSE_MILLIS);
        if (nowMillis >= vm.noRowsUntilMillis) {
          read(store, nowMillis);
        }
      }
      if (nowMillis >= nextUpdateMillis) {
        nextUpdateMillis = nowMillis + UPDATE_MILLIS;
        boolean reliable =
            nowMillis - rowsAtMillis < STALE_MILLIS
                && nowMillis - heartbeatAtMillis < STALE_MILLIS
                && nowMillis - heartbeatsSinceMillis > DEAD_MILLIS;
        view.onContact(Math.min(rowsAtMillis, heartbeatAtMillis), reliable, nowMillis);
      }
    }

    private void read(Store store, long nowMillis) {
      List<Write> writes =
          position < 0
              ? new ArrayList<>(store.rows.values())
              : store.log.subList(position, store.log.size());
      for (Write write : writes) {
        if (write.process() >= 0) {
          view.onRow(write.name(), write.process() == id, write.established(), nowMillis);
        }
      }
      position = store.log.size();
      rowsAtMillis = nowMillis;
    }
  }

  private static final class Vm {
    final String name;
    Optional<Process> process = Optional.empty();
    long startsAtMillis;
    long noRowsUntilMillis;
    long noWritesUntilMillis;
    long suspendedUntilMillis;

    Vm(String name, long startsAtMillis) {
      this.name = name;
      this.startsAtMillis = startsAtMillis;
    }
  }

  @Property(tries = 150, seed = "2801")
  void requestsOfAnySecondStayWithinTheBound(
      @ForAll @IntRange(min = 1, max = 77) int vmCount,
      @ForAll @DoubleRange(min = 0.2, max = 20) double perSecond,
      @ForAll @DoubleRange(min = 0.5, max = 2) double factor,
      @ForAll @DoubleRange(min = 0, max = 10) double slack,
      @ForAll boolean wasRunning,
      @ForAll long seed) {
    Random random = new Random(seed);
    FleetBounds bounds = new FleetBounds(factor, slack, 5_000);
    FleetService service =
        new FleetService(
            "orders",
            10,
            0,
            ImmutableList.of(),
            Optional.empty(),
            Optional.of(new FleetService.Warmup(10_000, perSecond)),
            ImmutableList.of());
    Store store = new Store();
    List<Vm> vms = new ArrayList<>();
    int spreadMillis = random.nextBoolean() ? 1_000 : 40_000;
    for (int i = 0; i < vmCount; i++) {
      Vm vm = new Vm("n" + i, random.nextInt(spreadMillis));
      vms.add(vm);
      if (wasRunning) {
        store.put(new Write(vm.name, 0, true));
      }
    }
    List<Long> sentMillis = new ArrayList<>();
    int processes = 0;
    for (long nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis += STEP_MILLIS) {
      Collections.shuffle(vms, random);
      for (Vm vm : vms) {
        if (vm.process.isEmpty() && nowMillis >= vm.startsAtMillis) {
          processes++;
          vm.process = Optional.of(new Process(vm.name, processes, service, bounds, nowMillis));
        }
        disturb(vm, store, nowMillis, random);
        if (vm.process.isPresent() && nowMillis >= vm.suspendedUntilMillis) {
          Process process = vm.process.get();
          while (process.limits.permits(upstream, nowMillis)) {
            process.limits.onSent(upstream);
            sentMillis.add(nowMillis);
          }
          process.step(store, vm, nowMillis, random);
        }
      }
    }
    double bound = perSecond * factor + slack;
    int from = 0;
    for (int to = 0; to < sentMillis.size(); to++) {
      while (sentMillis.get(from) < sentMillis.get(to) - 1_000) {
        from++;
      }
      assertWithMessage("requests in the second that ends at %s ms", sentMillis.get(to))
          .that(to - from + 1.0)
          .isAtMost(bound);
    }
  }

  /** Begins a partition, a suspension, a restart or a planned stop of a VM, each rarely. */
  private static void disturb(Vm vm, Store store, long nowMillis, Random random) {
    long untilMillis = nowMillis + random.nextInt(random.nextBoolean() ? 5_000 : 40_000);
    switch (random.nextInt(3_000)) {
      case 0 -> vm.noRowsUntilMillis = untilMillis;
      case 1 -> vm.noWritesUntilMillis = untilMillis;
      case 2 -> {
        vm.noRowsUntilMillis = untilMillis;
        vm.noWritesUntilMillis = untilMillis;
      }
      case 3 -> vm.suspendedUntilMillis = untilMillis;
      case 4 -> {
        vm.process = Optional.empty();
        vm.startsAtMillis = untilMillis;
      }
      case 5 -> {
        if (vm.process.isPresent() && nowMillis >= vm.noWritesUntilMillis) {
          store.put(new Write(vm.name, -1, false));
          vm.process = Optional.empty();
          vm.startsAtMillis = untilMillis;
        }
      }
      default -> {
        // Most steps disturb nothing.
      }
    }
  }
}
