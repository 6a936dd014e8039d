package review3;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Two nodes run batch submissions of nearly 8 MB, and consumers ask one of them for the bodies of
 * items. The other process is killed. The first one must live on and answer safe requests.
 */
final class TakeoverEnds {
  private static final int ITEMS = 1;
  private static final int EVENTS = 318;
  private static final int BODY_CHARS = 7_600_000;
  private static final int BATCHES_OF_KILLED = 4;
  private static final int BATCHES_OF_OTHER = 5;
  private static final int READERS = 10;
  private static final int CALLERS = 8;
  private static final int MAX_CUT = 3;
  private static final long PLAY_MILLIS = 18_000;

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

  private static int play(Path folder, Record record, List<Kit.Node> nodes) throws Exception {
    Store store = new Store();
    store.put("op", "config", Trainer.CONFIG);
    for (int i = 0; i < 6; i++) {
      new Sampler("i-" + i, "llm", "m", 12, 33, store, record);
    }
    for (int i = 0; i < 3; i++) {
      new Sampler("p-" + i, "portal", "m", 6, 33, store, record);
    }
    for (int i = 0; i < 2; i++) {
      nodes.add(new Kit.Node("front-z1-" + i, folder, store, record));
    }
    for (Kit.Node node : nodes) {
      node.awaitReady();
    }
    Thread.sleep(5_000);
    List<Trainer> killed = trainers("k", BATCHES_OF_KILLED, nodes, record);
    List<Trainer> other = trainers("o", BATCHES_OF_OTHER, nodes, record);
    long start = record.millis();
    Callers callers = Callers.start(CALLERS, nodes.get(1), record, start + PLAY_MILLIS);
    CountDownLatch accepted = new CountDownLatch(2);
    Kit.daemon(() -> submitAll(killed, 0, accepted)).start();
    Kit.daemon(() -> submitAll(other, 1, accepted)).start();
    while (other.get(BATCHES_OF_OTHER - 2).acceptedAt < 0 && record.millis() < start + 6_000) {
      Thread.sleep(10);
    }
    if (Kit.TROUBLE) {
      record.line("kill " + nodes.get(0).name);
      nodes.get(0).kill();
    }
    accepted.await(4, TimeUnit.SECONDS);
    List<Trainer> all = new ArrayList<>(killed);
    all.addAll(other);
    for (int i = 0; i < READERS; i++) {
      int reader = i;
      Kit.daemon(() -> readBodies(reader, all, nodes.get(1), record, start)).start();
    }
    Thread.sleep(Math.max(0, start + PLAY_MILLIS - record.millis()));
    int ownEnds = nodes.get(1).ownEnds;
    record.line("safe requests: " + callers.served + " served, " + callers.cut
        + " passed on and cut; " + nodes.get(1).name + " ended by itself " + ownEnds + " times");
    return callers.cut.get() > MAX_CUT && ownEnds > 0 ? 1 : 0;
  }

  private static List<Trainer> trainers(
      String prefix, int count, List<Kit.Node> nodes, Record record) {
    List<Trainer> trainers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      trainers.add(
          new Trainer(
              prefix + i, Collections.nCopies(ITEMS, EVENTS), BODY_CHARS, nodes, record));
    }
    return trainers;
  }

  private static void submitAll(List<Trainer> trainers, int node, CountDownLatch accepted) {
    for (Trainer trainer : trainers) {
      if (trainer.submit(node)) {
        Kit.daemon(
                () -> {
                  trainer.follow(node + 1);
                  trainer.end(1);
                })
            .start();
      }
    }
    accepted.countDown();
  }

  /** Asks for the bodies of items one after another. */
  private static void readBodies(
      int reader, List<Trainer> all, Kit.Node node, Record record, long start) {
    for (int i = reader; record.millis() < start + PLAY_MILLIS; i++) {
      Trainer trainer = all.get(i % all.size());
      String item = trainer.id + "i" + i % ITEMS;
      Kit.Answer answer =
          Kit.call(
              node,
              Trainer.head("GET", "/briarward/items/" + trainer.id + "?id=" + item, "x" + i),
              new byte[0],
              5_000);
      record.line("body " + item + ": " + answer.status() + ", " + answer.body().length
          + " bytes after " + answer.tookMillis() + " ms");
      Kit.sleep(Math.max(300, answer.retryAfterMillis()));
    }
  }
}
