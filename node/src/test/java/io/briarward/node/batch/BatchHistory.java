package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.ItemResult;
import io.briarward.node.batch.BatchService.ResultPage;
import io.briarward.node.batch.BatchService.Submitted;
import io.briarward.node.batch.SamplerClient.Ending;
import io.briarward.node.testing.MemoryStore.Fate;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A generated history: processes die and start, all of them too, while the store loses answers,
 * applies writes late, is down and forgets its history, and samplers break off.
 */
final class BatchHistory {
  private static final int NODES = 4;
  private static final int STEPS = 60;
  private static final int ITEMS = 40;
  private static final long MAX_STEP_MILLIS = 300;
  private static final long CALL_MILLIS = 2_000;

  /** Enough for dead owners to be noticed and for all that is left to run. */
  private static final long CALM_MILLIS = 12_000;

  private final BatchWorld world = new BatchWorld();
  private final BatchWorld.Process[] processes = new BatchWorld.Process[NODES];
  private final Map<String, Set<Submitted>> answers = new HashMap<>();
  private final Set<String> ended = new HashSet<>();
  private final Map<String, Map<Integer, ItemResult>> seen = new HashMap<>();
  private final Random random;

  BatchHistory(long seed) {
    random = new Random(seed);
  }

  /** Plays the history, then a calm time after which every promise must hold. */
  void play() {
    world.samplers.decideEndings(call -> random.nextInt(8) == 0 ? Ending.BROKEN : Ending.COMPLETE);
    for (int node = 0; node < NODES; node++) {
      start(node);
    }
    for (int step = 0; step < STEPS; step++) {
      disturb();
      world.advance(10 + (long) (random.nextDouble() * MAX_STEP_MILLIS));
    }
    calm();
    check();
  }

  private void disturb() {
    switch (random.nextInt(12)) {
      case 0, 1, 2 -> submit();
      case 3, 4 -> read();
      case 5 -> stop(random.nextInt(NODES));
      case 6 -> start(random.nextInt(NODES));
      case 7 -> world.store.forgetHistory();
      case 8 -> world.store.setDown(random.nextBoolean());
      case 9 -> loseWrites(random.nextInt(3));
      case 10 -> end();
      case 11 -> losePower();
      default -> throw new AssertionError();
    }
  }

  private void submit() {
    // An id that was used before is a submission sent once more.
    BatchSpec spec = BatchWorld.spec("b" + random.nextInt(12), ITEMS);
    Optional<BatchWorld.Process> process = anyProcess();
    if (process.isEmpty()) {
      return;
    }
    Submitted answer =
        attempt(
                process
                    .get()
                    .batches
                    .submit(
                        spec, BatchWorld.encode(spec), BatchWorld.ORGANISATION, BatchWorld.TERMS))
            .orElse(Submitted.UNKNOWN);
    answers.computeIfAbsent(spec.id(), unused -> new HashSet<>()).add(answer);
  }

  private void read() {
    Optional<BatchWorld.Process> process = anyProcess();
    for (String id : ImmutableList.copyOf(answers.keySet())) {
      process.ifPresent(each -> read(each, id, random.nextInt(ITEMS)));
    }
  }

  private void read(BatchWorld.Process process, String id, int after) {
    Optional<Optional<ResultPage>> page =
        attempt(process.batches.results(id, BatchWorld.ORGANISATION, after, 0));
    if (page.isPresent() && page.get().isPresent()) {
      note(id, after, page.get().get().results());
    }
  }

  /** Checks that a position never holds another result than was read there before. */
  private void note(String id, int after, List<ItemResult> results) {
    Map<Integer, ItemResult> positions = seen.computeIfAbsent(id, unused -> new HashMap<>());
    for (int i = 0; i < results.size(); i++) {
      ItemResult before = positions.putIfAbsent(after + i, results.get(i));
      assertWithMessage("%s at %s", id, after + i)
          .that(before == null ? results.get(i) : before)
          .isEqualTo(results.get(i));
    }
  }

  private void end() {
    Optional<BatchWorld.Process> process = anyProcess();
    if (process.isPresent() && !answers.isEmpty()) {
      ImmutableList<String> ids = ImmutableList.sortedCopyOf(answers.keySet());
      String id = ids.get(random.nextInt(ids.size()));
      ended.add(id);
      var unused = attempt(process.get().batches.end(id, BatchWorld.ORGANISATION));
    }
  }

  private void loseWrites(int oneIn) {
    ImmutableList<Fate> fates = ImmutableList.of(Fate.REFUSED, Fate.ANSWER_LOST, Fate.LATE);
    world.store.decideFates(
        transaction ->
            oneIn > 0 && random.nextInt(oneIn * 3) == 0
                ? fates.get(random.nextInt(fates.size()))
                : Fate.ANSWERED);
  }

  private void losePower() {
    for (int node = 0; node < NODES; node++) {
      stop(node);
    }
    world.advance(500);
    for (int node = 0; node < NODES; node++) {
      start(node);
    }
  }

  private void start(int node) {
    if (processes[node] == null) {
      processes[node] = world.start("node" + node);
    }
  }

  private void stop(int node) {
    if (processes[node] != null) {
      processes[node].kill();
      processes[node] = null;
    }
  }

  private Optional<BatchWorld.Process> anyProcess() {
    return Optional.ofNullable(processes[random.nextInt(NODES)]);
  }

  private void calm() {
    world.store.setDown(false);
    world.store.decideFates(transaction -> Fate.ANSWERED);
    world.samplers.decideEndings(call -> Ending.COMPLETE);
    for (int node = 0; node < NODES; node++) {
      start(node);
    }
    world.advance(CALM_MILLIS);
  }

  private void check() {
    for (Map.Entry<String, Set<Submitted>> entry : answers.entrySet()) {
      String id = entry.getKey();
      if (entry.getValue().contains(Submitted.ACCEPTED)) {
        for (BatchWorld.Process process : processes) {
          checkAccepted(process, id);
        }
      } else if (!entry.getValue().contains(Submitted.UNKNOWN)) {
        assertWithMessage("runs of refused %s", id).that(runs(id)).isEqualTo(0);
      }
    }
  }

  private void checkAccepted(BatchWorld.Process process, String id) {
    ImmutableList<ItemResult> results = BatchWorld.all(process, id);
    note(id, 0, results);
    assertWithMessage("items of %s", id)
        .that(results.stream().map(ItemResult::itemId).toList())
        .containsNoDuplicates();
    if (!ended.contains(id)) {
      assertWithMessage("results of %s", id).that(results).hasSize(ITEMS);
    }
    for (ItemResult result : results) {
      assertThat(result.output()).isEqualTo(FakeSamplers.output(result.itemId()));
    }
  }

  private long runs(String id) {
    return world.samplers.calls().stream()
        .filter(call -> call.item().id().startsWith(id + "-"))
        .count();
  }

  /** Returns the answer of a call, or empty if it failed or took long. */
  private <T> Optional<T> attempt(Single<T> call) {
    AtomicBoolean done = new AtomicBoolean();
    TestObserver<T> observer = call.onErrorComplete().doFinally(() -> done.set(true)).test();
    for (long passed = 0; passed < CALL_MILLIS && !done.get(); passed += 10) {
      world.advance(10);
    }
    return observer.values().stream().findFirst();
  }
}
