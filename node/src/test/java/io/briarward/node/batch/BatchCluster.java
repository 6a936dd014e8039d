package io.briarward.node.batch;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.BatchTerms;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.batch.RewardCall;
import io.briarward.core.batch.SubmissionMemory;
import io.briarward.core.fleet.LimitShares;
import io.briarward.core.fleet.RelayOffer;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.memory.ByteBudget;
import io.briarward.node.batch.BatchService.ResultPage;
import io.briarward.node.batch.BatchService.SubmitOutcome;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.Incarnations;
import io.briarward.node.fleet.LimitExchange;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.fleet.TableWatch;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.telemetry.Metrics;
import io.briarward.node.testing.FakeFleetDecoder;
import io.briarward.node.testing.MemoryStore;
import io.briarward.node.timing.UptimeScheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Processes that share a store and samplers, in virtual time. */
final class BatchCluster {
  static final String ORGANISATION = "nadi-mill";
  static final BatchTerms TERMS =
      new BatchTerms(
          FakeFleetDecoder.HOST, "batches", FakeFleetDecoder.SAMPLERS, 3, 7_500, 40_000, false);
  static final long RETENTION_MILLIS = 60_000;
  private static final long STEP_MILLIS = 10;
  private static final int MAX_STEPS = 2_000;
  private static final long SUBMISSIONS_BYTES = 1 << 20;

  final TestScheduler scheduler = new TestScheduler();
  final MemoryStore store = MemoryStore.create(scheduler);
  final FakeSamplers samplers = new FakeSamplers(scheduler);
  final FakeRewards rewards = new FakeRewards(scheduler);
  private long timeOfDayOffsetMillis = 1_700_000_000_000L;
  private final UptimeScheduler processScheduler =
      UptimeScheduler.over(
          scheduler,
          () -> scheduler.now(TimeUnit.NANOSECONDS),
          () -> scheduler.now(TimeUnit.MILLISECONDS) + timeOfDayOffsetMillis);

  /** A process with a node registry and a batch service. */
  final class Process {
    final String incarnation;
    final NodeRegistry nodes;
    final BatchService batches;
    final Metrics metrics = Metrics.create();
    final ByteBudget submissionMemory = ByteBudget.of(SUBMISSIONS_BYTES);
    private final List<AutoCloseable> components = new ArrayList<>();
    private boolean cutOff;
    private boolean cutOffFromScorers;

    Process(String name) {
      incarnation = Incarnations.create(name, "10.0.0.1");
      EventLog log = EventLog.create(processScheduler);
      FakeFleetDecoder decoder = new FakeFleetDecoder();
      LimitShares shares = LimitShares.create(name);
      FleetState fleet = FleetState.create(decoder, processScheduler, log, "nadi", shares);
      components.add(
          TableWatch.start(
              store, processScheduler, log, decoder.operatorTable(), 20, fleet.operatorRows()));
      components.add(
          TableWatch.start(
              store, processScheduler, log, decoder.upstreamTable(), 20, fleet.upstreamRows()));
      nodes =
          NodeRegistry.start(
              store,
              store,
              processScheduler,
              log,
              name,
              incarnation,
              fleet::demand,
              processScheduler::steadyMillis);
      batches =
          BatchService.start(
              new BatchService.Settings(incarnation, RETENTION_MILLIS),
              new BatchService.Dependencies(
                  store,
                  store,
                  store,
                  BatchCluster::decode,
                  submissionMemory,
                  this::runItem,
                  this::score,
                  metrics),
              processScheduler,
              fleet,
              nodes,
              log);
      nodes.offerRelay(() -> new RelayOffer(Optional.empty(), fleet.balancer().cutOffServices()));
      components.add(nodes);
      components.add(LimitExchange.start(nodes, shares, processScheduler));
      components.add(batches);
    }

    /** Makes all samplers unreachable for this process. */
    void cutOff() {
      setCutOff(true);
    }

    /** Sets whether all samplers are unreachable for this process. */
    void setCutOff(boolean cutOff) {
      this.cutOff = cutOff;
    }

    /** Makes all upstreams that score texts unreachable for this process. */
    void cutOffFromScorers() {
      cutOffFromScorers = true;
    }

    private Single<RewardClient.Reply> score(
        RewardCall call, UpstreamEntry upstream, long timeoutMillis) {
      return cutOffFromScorers
          ? Single.timer(STEP_MILLIS, TimeUnit.MILLISECONDS, scheduler)
              .map(
                  unused ->
                      RewardClient.Reply.withoutResponse(
                          RewardClient.Outcome.UNREACHABLE, "cut off"))
          : rewards.score(call, upstream, timeoutMillis);
    }

    private SamplerClient.Run runItem(
        SamplerClient.ItemCall call, SamplerClient.Listener listener) {
      if (!cutOff) {
        return samplers.run(call, listener);
      }
      Disposable failure =
          scheduler.scheduleDirect(
              () -> listener.onEnd(SamplerClient.RunOutcome.UNREACHABLE, "cut off"),
              STEP_MILLIS,
              TimeUnit.MILLISECONDS);
      return failure::dispose;
    }

    /** Stops the process without releasing its batches or leaving the registry. */
    void kill() {
      for (AutoCloseable component : components) {
        try {
          component.close();
        } catch (Exception e) {
          throw new IllegalStateException(e);
        }
      }
    }

    private LoadedBatch loaded(BatchSpec spec) {
      SubmissionMemory memory = SubmissionMemory.open(submissionMemory);
      spec.items().forEach(memory::endItem);
      memory.endParsing();
      return new LoadedBatch(spec, memory);
    }

    /** Returns a submission that is sent on subscription. */
    Single<SubmitOutcome> submission(BatchSpec spec) {
      return Single.using(
          () -> loaded(spec),
          batch -> batches.submit(batch, encode(spec), ORGANISATION, TERMS),
          batches::release);
    }

    SubmitOutcome submit(BatchSpec spec) {
      return await(submission(spec));
    }

    Optional<ResultPage> results(String id, int after) {
      return await(batches.results(id, ORGANISATION, after, 0));
    }
  }

  BatchCluster() {
    FakeFleetDecoder fleet = new FakeFleetDecoder();
    store.put(
        fleet.operatorTable(), fleet.configurationKey(), FakeFleetDecoder.configurationRow(1));
    store.put(fleet.upstreamTable(), "s1", FakeFleetDecoder.samplerRow(1, false));
    store.put(fleet.upstreamTable(), "s2", FakeFleetDecoder.samplerRow(1, false));
  }

  /** Registers {@code count} upstreams that score texts. */
  void addScorers(int count) {
    for (int i = 0; i < count; i++) {
      store.put(
          new FakeFleetDecoder().upstreamTable(),
          "r" + i,
          FakeFleetDecoder.scorerRow(FakeFleetDecoder.SCORERS));
    }
  }

  /** Registers {@code count} upstreams of the other service that scores texts. */
  void addOtherScorers(int count) {
    for (int i = 0; i < count; i++) {
      store.put(
          new FakeFleetDecoder().upstreamTable(),
          "o" + i,
          FakeFleetDecoder.scorerRow(FakeFleetDecoder.OTHER_SCORERS));
    }
  }

  /** Installs a configuration in which two models run on the samplers, so that batches compete. */
  void addSecondModel() {
    FakeFleetDecoder fleet = new FakeFleetDecoder();
    store.put(
        fleet.operatorTable(),
        fleet.configurationKey(),
        FakeFleetDecoder.configurationRowOfTwoModels(2));
  }

  /** Announces a weight version. */
  void announce(long version) {
    store.put(
        new FakeFleetDecoder().operatorTable(), "m", FakeFleetDecoder.configurationRow(version));
  }

  Process start(String name) {
    Process process = new Process(name);
    advance(200);
    return process;
  }

  /** Sets the time of day of all VMs ahead, or back if negative. */
  void stepTimeOfDay(long millis) {
    timeOfDayOffsetMillis += millis;
  }

  void advance(long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      scheduler.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Advances the time until a call completes; fails if the call fails. */
  <T> T await(Single<T> call) {
    TestObserver<T> observer = call.test();
    for (int steps = 0; steps < MAX_STEPS && observer.values().isEmpty(); steps++) {
      observer.assertNoErrors();
      advance(STEP_MILLIS);
    }
    return observer.values().get(0);
  }

  /** Returns the owner in the stored head of a batch. */
  Optional<String> owner(String id) {
    return store.rows(BatchStore.HEADS_TABLE).stream()
        .map(row -> BatchHead.parse(row.value()))
        .filter(head -> head.id().equals(id))
        .findFirst()
        .flatMap(BatchHead::owner);
  }

  static BatchSpec spec(String id, int items) {
    return spec(id, items, itemIndex -> Optional.empty());
  }

  private static BatchSpec spec(
      String id, int items, IntFunction<Optional<String>> rewardPathPrefix) {
    return new BatchSpec(
        id,
        Optional.of("m"),
        1,
        0,
        IntStream.range(0, items)
            .mapToObj(
                i ->
                    new BatchItem(
                        id + "-item" + i,
                        "g" + i / 4,
                        "/b/" + i,
                        ImmutableMap.of(),
                        "",
                        10,
                        rewardPathPrefix
                            .apply(i)
                            .map(prefix -> rewardCall(prefix, id + "-item" + i))))
            .collect(ImmutableList.toImmutableList()));
  }

  /** Returns a batch whose texts are scored; the reward call of an item has the id r-ITEM. */
  static BatchSpec scoredSpec(String id, int items) {
    return spec(id, items, itemIndex -> Optional.of("/r/"));
  }

  /** Returns a batch whose texts are scored by two services in turn, first by the other one. */
  static BatchSpec specOfTwoScorers(String id, int items) {
    return spec(id, items, itemIndex -> Optional.of(itemIndex % 2 == 0 ? "/s/" : "/r/"));
  }

  private static RewardCall rewardCall(String pathPrefix, String itemId) {
    return new RewardCall("r-" + itemId, FakeFleetDecoder.HOST, pathPrefix + itemId, "");
  }

  /** Encodes a batch by its size and the reward paths of its first two items, which repeat. */
  static Buffer encode(BatchSpec spec) {
    String prefixes =
        spec.items().stream()
            .limit(2)
            .map(item -> item.rewardCall().map(call -> call.path().substring(0, 3)).orElse("-"))
            .collect(Collectors.joining(" "));
    return Buffer.buffer(spec.items().size() + " " + prefixes);
  }

  private static BatchSpec decode(String id, Buffer bytes, SubmissionMemory memory) {
    List<String> words = Splitter.on(' ').splitToList(bytes.toString());
    List<String> prefixes = words.subList(1, words.size());
    BatchSpec spec =
        spec(
            id,
            Integer.parseInt(words.get(0)),
            itemIndex ->
                Optional.of(prefixes.get(itemIndex % prefixes.size()))
                    .filter(prefix -> !prefix.equals("-")));
    spec.items().forEach(memory::endItem);
    memory.endParsing();
    return spec;
  }

  /** Returns all results of a batch that a process serves. */
  static ImmutableList<ItemResult> allResults(Process process, String id) {
    ImmutableList.Builder<ItemResult> results = ImmutableList.builder();
    int after = 0;
    while (true) {
      ResultPage page = process.results(id, after).orElseThrow();
      if (page.results().isEmpty()) {
        return results.build();
      }
      results.addAll(page.results());
      after = page.next();
    }
  }
}
