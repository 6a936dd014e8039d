package review3;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Two nodes run open batch submissions of nearly 8 MB. One process is killed and started again. Its
 * batches must go on, at whichever node has room.
 */
final class StuckBatch {
  private static final int SAMPLERS = 6;
  private static final int SLOTS = 12;
  private static final long STEP_MILLIS = 33;
  private static final int ITEMS = 40;
  private static final int SHORT_EVENTS = 10;
  private static final int LONG_EVENTS = 318;
  private static final int BODY_CHARS = 200_000;
  private static final int BATCHES_OF_KILLED = 4;
  private static final int BATCHES_OF_OTHER = 5;
  private static final long DEADLINE_MILLIS = Trainer.DEADLINE_MILLIS;
  private static final long IDLE_MILLIS = 5_000;
  private static final long STABLE_MILLIS = 3_000;

  public static void main(String[] arguments) throws Exception {
    Path folder = Files.createTempDirectory("review3-");
    Record record = new Record(Path.of(arguments[0], "record.txt"));
    List<Kit.Node> nodes = new ArrayList<>();
    int status = 2;
    try {
      status = play(folder, record, nodes);
    } catch (Exception e) {
      record.line("could not run: " + e);
    } finally {
      nodes.forEach(Kit.Node::close);
    }
    record.line("exit " + status);
    System.exit(status);
  }

  private static List<Integer> events() {
    List<Integer> events = new ArrayList<>(Collections.nCopies(ITEMS, SHORT_EVENTS));
    events.set(0, LONG_EVENTS);
    events.set(4, LONG_EVENTS);
    return events;
  }

  private static int play(Path folder, Record record, List<Kit.Node> nodes) throws Exception {
    Store store = new Store();
    store.put("op", "config", Trainer.CONFIG);
    List<Sampler> samplers = new ArrayList<>();
    for (int i = 0; i < SAMPLERS; i++) {
      samplers.add(new Sampler("i-" + i, "llm", "m", SLOTS, STEP_MILLIS, store, record));
    }
    for (int i = 0; i < 2; i++) {
      nodes.add(new Kit.Node("front-z1-" + i, folder, store, record));
    }
    for (Kit.Node node : nodes) {
      node.awaitReady();
    }
    Thread.sleep(5_000);
    warmUp(nodes, record);
    List<Trainer> killed = trainers("k", BATCHES_OF_KILLED, nodes, record);
    List<Trainer> other = trainers("o", BATCHES_OF_OTHER, nodes, record);
    long start = record.millis();
    CountDownLatch accepted = new CountDownLatch(2);
    Kit.daemon(() -> submitAll(killed, 0, accepted)).start();
    Kit.daemon(() -> submitAll(other, 1, accepted)).start();
    List<Trainer> first = new ArrayList<>(killed);
    first.addAll(other.subList(0, BATCHES_OF_OTHER - 1));
    while (first.stream().anyMatch(each -> each.acceptedAt < 0)
        && record.millis() < start + 6_000) {
      Thread.sleep(10);
    }
    if (Kit.TROUBLE) {
      record.line("kill " + nodes.get(0).name);
      nodes.get(0).kill();
    }
    if (!accepted.await(4_000, TimeUnit.MILLISECONDS)
        || killed.stream().anyMatch(each -> each.acceptedAt < 0)) {
      record.line("the batches were not accepted in time");
      return 2;
    }
    List<Trainer> all = new ArrayList<>(killed);
    all.addAll(other);
    boolean broken = false;
    Map<String, Long> idleSince = new HashMap<>();
    Map<String, Long> idleMillis = new HashMap<>();
    while (record.millis() < start + DEADLINE_MILLIS + 6_000) {
      Thread.sleep(50);
      int running = samplers.stream().mapToInt(each -> each.running.get()).sum();
      long steadyFrom = nodes.get(0).startedAt + STABLE_MILLIS;
      for (Trainer trainer : all) {
        for (String item : trainer.eventsByItem.keySet()) {
          long now = record.millis();
          boolean idle =
              !record.finished.contains(item)
                  && record.at.getOrDefault(item, Set.of()).isEmpty()
                  && running < SAMPLERS * SLOTS / 2
                  && now >= steadyFrom;
          if (idle) {
            long since = idleSince.computeIfAbsent(item, unused -> now);
            idleMillis.merge(item, now - since, Math::max);
          } else {
            idleSince.remove(item);
          }
        }
        if (trainer.timedOut) {
          broken |= judge(trainer, idleMillis, record);
          trainer.timedOut = false;
          trainer.end(1);
        }
      }
    }
    return broken ? 1 : 0;
  }

  private static List<Trainer> trainers(
      String prefix, int count, List<Kit.Node> nodes, Record record) {
    List<Trainer> trainers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      trainers.add(new Trainer(prefix + i, events(), BODY_CHARS, nodes, record));
    }
    return trainers;
  }

  /** Has each node run a batch of short items, as in the time before. */
  private static void warmUp(List<Kit.Node> nodes, Record record) throws InterruptedException {
    for (int i = 0; i < 2 * nodes.size(); i++) {
      List<Integer> events = new ArrayList<>(Collections.nCopies(ITEMS, SHORT_EVENTS));
      Trainer trainer = new Trainer("w" + i, events, BODY_CHARS, nodes, record);
      trainer.submit(i);
      trainer.follow(i);
      trainer.end(i);
    }
    Thread.sleep(1_000);
  }

  /** Submits batches one after another, and reads their results from then on. */
  private static void submitAll(List<Trainer> trainers, int node, CountDownLatch accepted) {
    for (Trainer trainer : trainers) {
      if (trainer.submit(node)) {
        Kit.daemon(() -> trainer.follow(node + 1)).start();
      }
    }
    accepted.countDown();
  }

  /** Returns whether an item of a step that ran out of time was at no sampler for 5 s. */
  private static boolean judge(Trainer trainer, Map<String, Long> idleMillis, Record record) {
    boolean begun = trainer.eventsByItem.keySet().stream().anyMatch(record.lastAt::containsKey);
    boolean broken = false;
    for (String item : trainer.eventsByItem.keySet()) {
      long idle = idleMillis.getOrDefault(item, 0L);
      if (begun && !record.finished.contains(item) && idle >= IDLE_MILLIS) {
        record.line("LOST " + item + ": at no sampler for " + idle + " ms of steady state");
        broken = true;
      }
    }
    return broken;
  }
}
