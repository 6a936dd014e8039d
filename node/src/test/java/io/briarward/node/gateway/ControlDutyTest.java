package io.briarward.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.fleet.LimitShares;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.Incarnations;
import io.briarward.node.fleet.TableWatch;
import io.briarward.node.gateway.SamplerOrders.LoadOrder;
import io.briarward.node.gateway.SamplerOrders.RunningWork;
import io.briarward.node.gateway.SamplerOrders.Status;
import io.briarward.node.platform.UsageReports;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.testing.FakeFleetDecoder;
import io.briarward.node.testing.MemoryStore;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ControlDutyTest {
  private static final long LEASE_MILLIS = 3_000;

  /** Long enough that no window ends during a test, since windows follow the wall clock. */
  private static final long WINDOW_MILLIS = TimeUnit.DAYS.toMillis(365);

  private final TestScheduler scheduler = new TestScheduler();
  private final MemoryStore store = MemoryStore.create(scheduler);
  private final FakeFleetDecoder decoder = new FakeFleetDecoder();
  private final List<LoadOrder> orders = new ArrayList<>();
  private final Map<Long, List<ImmutableMap<String, Long>>> reports = new HashMap<>();
  private boolean responsesLost;

  private final SamplerOrders samplers =
      new SamplerOrders() {
        @Override
        public Single<Status> status(UpstreamEntry sampler) {
          long accepted =
              orders.stream().filter(o -> o.sampler().id().equals(sampler.id())).count();
          return Single.just(new Status(false, accepted, sampler.modelVersions(), false));
        }

        @Override
        public Single<Boolean> load(LoadOrder order) {
          orders.add(order);
          if (responsesLost) {
            return Single.never();
          }
          store.put(
              decoder.upstreamTable(),
              order.sampler().id(),
              FakeFleetDecoder.samplerRow(order.version(), false));
          return Single.just(true);
        }
      };

  private final UsageReports usageReports =
      (window, requests, holder, fencingNumber) ->
          Completable.fromAction(
              () -> reports.computeIfAbsent(window, key -> new ArrayList<>()).add(requests));

  private final class Node {
    final ControlDuty duty;
    private final List<AutoCloseable> parts = new ArrayList<>();

    Node(String name) {
      this(name, () -> true);
    }

    Node(String name, BooleanSupplier isCandidate) {
      EventLog log = EventLog.create(scheduler);
      FleetState fleet =
          FleetState.create(decoder, scheduler, log, "nadi", LimitShares.create(name));
      parts.add(
          TableWatch.start(
              store, scheduler, log, decoder.operatorTable(), 20, fleet.operatorRows()));
      parts.add(
          TableWatch.start(
              store, scheduler, log, decoder.upstreamTable(), 20, fleet.upstreamRows()));
      duty =
          ControlDuty.start(
              new ControlDuty.Settings(
                  name, Incarnations.create(name, "10.0.0.1"), LEASE_MILLIS, WINDOW_MILLIS),
              store,
              scheduler,
              log,
              fleet,
              samplers,
              usageReports,
              () -> ImmutableMap.of(),
              isCandidate,
              () -> scheduler.now(TimeUnit.MILLISECONDS));
      parts.add(duty);
    }

    void kill() throws Exception {
      for (AutoCloseable part : parts) {
        part.close();
      }
    }
  }

  @BeforeEach
  void addSamplers() {
    store.put(
        decoder.operatorTable(), decoder.configurationKey(), FakeFleetDecoder.configurationRow(1));
    for (int i = 0; i < 4; i++) {
      store.put(decoder.upstreamTable(), "s" + i, FakeFleetDecoder.samplerRow(1, false));
    }
  }

  private void announce(long version) {
    store.put(decoder.operatorTable(), "m", FakeFleetDecoder.configurationRow(version));
  }

  private void advance(long millis) {
    for (long passed = 0; passed < millis; passed += 10) {
      scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void announcementSendsOneOrderToEachSampler() {
    new Node("a");
    new Node("b");
    advance(6_000);
    announce(2);
    advance(3_000);
    assertThat(orders).hasSize(4);
    assertThat(orders.stream().map(order -> order.sampler().id()).distinct().count()).isEqualTo(4);
    assertThat(orders.stream().map(LoadOrder::holder).distinct().count()).isEqualTo(1);
    assertThat(orders.get(0).runningWork()).isEqualTo(RunningWork.KEEP);
  }

  @Test
  void successorWaitsForLeaseExpiryAndUsesHigherFencingNumber() throws Exception {
    final Node first = new Node("a");
    advance(6_000);
    new Node("b");
    announce(2);
    advance(100);
    final long firstNumber = orders.get(0).fencingNumber();
    responsesLost = true;
    announce(3);
    advance(100);
    first.kill();
    int before = orders.size();
    advance(LEASE_MILLIS);
    assertThat(orders).hasSize(before);
    responsesLost = false;
    advance(15_000);
    LoadOrder last = orders.get(orders.size() - 1);
    assertThat(last.holder()).isEqualTo("b");
    assertThat(last.fencingNumber()).isGreaterThan(firstNumber);
    assertThat(last.version()).isEqualTo(3);
  }

  @Test
  void restartedHolderTakesLeaseImmediately() throws Exception {
    Node holder = new Node("a");
    advance(6_000);
    holder.kill();
    new Node("a");
    new Node("b");
    advance(300);
    announce(2);
    advance(200);
    assertThat(orders).isNotEmpty();
    assertThat(orders.get(0).holder()).isEqualTo("a");
    assertThat(orders.get(0).fencingNumber()).isEqualTo(2);
  }

  @Test
  void restartedVmWaitsIfAnotherVmHeldLeaseSince() throws Exception {
    Node first = new Node("a");
    advance(6_000);
    final Node second = new Node("b");
    advance(LEASE_MILLIS);
    var unused = first.duty.stop().subscribe();
    advance(1_000);
    first.kill();
    var unusedToo = second.duty.stop().subscribe();
    new Node("a");
    advance(LEASE_MILLIS - 500);
    announce(2);
    advance(400);
    assertThat(orders).isEmpty();
    advance(1_000);
    assertThat(orders.get(0).fencingNumber()).isEqualTo(3);
  }

  /** Guards against a store that every process asks for the lease twice a second. */
  @Test
  void processThatIsNoCandidateStopsReadingLease() {
    new Node("a");
    new Node("b", () -> false);
    advance(6_000);
    int readsOfOne = store.reads("leases");
    advance(10_000);
    int reads = store.reads("leases") - readsOfOne;
    new Node("c");
    advance(10_000);
    assertThat(store.reads("leases") - readsOfOne - reads).isGreaterThan(reads + 15);
  }

  /** Guards against a duty that nobody carries out since the candidates failed together. */
  @Test
  void processThatBecomesCandidateTakesLeaseOfLostHolder() throws Exception {
    AtomicBoolean candidate = new AtomicBoolean();
    Node holder = new Node("a");
    new Node("b", candidate::get);
    advance(10_000);
    holder.kill();
    advance(3_500);
    candidate.set(true);
    announce(2);
    advance(LEASE_MILLIS + 1_500);
    assertThat(orders).hasSize(4);
    assertThat(orders.get(0).holder()).isEqualTo("b");
  }

  @Test
  void allSamplersAreOrderedAfterUnansweredOrders() {
    new Node("a");
    advance(6_000);
    responsesLost = true;
    announce(2);
    advance(1_500);
    assertThat(orders).isNotEmpty();
    responsesLost = false;
    advance(10_000);
    assertThat(orders.stream().map(order -> order.sampler().id()).distinct().count()).isEqualTo(4);
  }

  @Test
  void lateCountsDoNotChangeReportedWindow() throws Exception {
    Node a = new Node("a");
    Node b = new Node("b");
    advance(6_000);
    long lastYear = System.currentTimeMillis() - WINDOW_MILLIS;
    a.duty.runs().onRun("mill", lastYear);
    b.duty.runs().onRun("mill", lastYear);
    b.duty.runs().onRun("coatings", lastYear);
    advance(1_000);
    long window = Math.floorDiv(lastYear, WINDOW_MILLIS);
    // The window was reported before these late counts, which must not change its frozen figures.
    assertThat(reports.get(window)).hasSize(1);
    a.kill();
    b.kill();
    new Node("c");
    advance(20_000);
    assertThat(reports.get(window).stream().distinct().count()).isEqualTo(1);
  }

  @Test
  void noOrderIsSentWhileStoreIsUnavailable() {
    new Node("a");
    advance(6_000);
    store.setDown(true);
    advance(LEASE_MILLIS + 2_000);
    int before = orders.size();
    announce(2);
    advance(5_000);
    assertThat(orders).hasSize(before);
    store.setDown(false);
    advance(10_000);
    assertThat(orders).hasSize(4);
  }

  /** Each determination hashes the incarnations of all nodes. */
  @Test
  void candidacyIsDeterminedAsOftenAsTheLeaseIsRead() {
    AtomicInteger determinations = new AtomicInteger();
    new Node("a");
    advance(4_000);
    new Node(
        "b",
        () -> {
          determinations.incrementAndGet();
          return false;
        });
    advance(6_000);
    int before = determinations.get();
    advance(5_000);
    assertThat(determinations.get() - before).isAtMost(10);
    assertThat(determinations.get() - before).isAtLeast(8);
  }
}
