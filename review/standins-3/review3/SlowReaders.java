package review3;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers ask a node for the bodies of items that are not listed yet, and read the answers slowly.
 * Others use kept channels for safe requests, which must be answered meanwhile.
 */
final class SlowReaders {
  private static final int ITEMS = 1;
  private static final int EVENTS = 1_200;
  private static final int BODY_CHARS = 7_600_000;
  private static final int READERS = 40;
  private static final int CALLERS = 8;
  private static final int MIN_LATE = 8;
  private static final long MAX_WAIT_MILLIS = 40_000;
  private static final int BYTES_PER_SECOND = 64 << 10;
  private static final long PLAY_MILLIS = 30_000;

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
    for (int i = 0; i < 3; i++) {
      new Sampler("i-" + i, "llm", "m", 12, 33, store, record);
      new Sampler("p-" + i, "portal", "m", 6, 33, store, record);
    }
    for (int i = 0; i < 2; i++) {
      nodes.add(new Kit.Node("front-z1-" + i, folder, store, record));
    }
    for (Kit.Node node : nodes) {
      node.awaitReady();
    }
    Thread.sleep(3_000);
    Trainer trainer =
        new Trainer("b", Collections.nCopies(ITEMS, EVENTS), BODY_CHARS, nodes, record);
    trainer.deadlineMillis = MAX_WAIT_MILLIS;
    if (!trainer.submit(1)) {
      return 2;
    }
    long start = record.millis();
    Kit.daemon(() -> trainer.follow(0)).start();
    Callers callers = Callers.start(CALLERS, nodes.get(0), record, start + PLAY_MILLIS);
    Thread.sleep(2_000);
    AtomicInteger whole = new AtomicInteger();
    for (int i = 0; i < READERS; i++) {
      int reader = i;
      Kit.daemon(() -> read(reader, nodes.get(0), start, whole, record)).start();
      Thread.sleep(250);
    }
    Thread.sleep(Math.max(0, start + PLAY_MILLIS - record.millis()));
    int ownEnds = nodes.stream().mapToInt(each -> each.ownEnds).sum();
    int late = callers.late.get();
    int tooLate = callers.tooLate.get();
    record.line("safe requests: " + callers.served + " served, " + late
        + " unanswered at timeoutMs, " + tooLate + " of them half a second later; bodies read "
        + whole + "; processes that ended by themselves " + ownEnds);
    return late >= MIN_LATE && tooLate * 2 > late ? 1 : 0;
  }

  /** Asks for the body of an item, and reads it slowly, or at once without the disruption. */
  private static void read(
      int reader, Kit.Node node, long start, AtomicInteger whole, Record record) {
    while (record.millis() < start + PLAY_MILLIS) {
      try (Socket socket = new Socket()) {
        socket.setReceiveBufferSize(32 << 10);
        socket.connect(new InetSocketAddress("127.0.0.1", node.front), 1_000);
        socket.setSoTimeout(10_000);
        socket.getOutputStream().write(
            (Trainer.head("GET", "/briarward/items/b?id=bi" + reader % ITEMS, "r" + reader)
                + "\r\n").getBytes(StandardCharsets.UTF_8));
        InputStream in = socket.getInputStream();
        if (Kit.TROUBLE) {
          byte[] first = in.readNBytes(12);
          record.line("reader " + reader + ": " + new String(first, StandardCharsets.UTF_8));
          while (record.millis() < start + PLAY_MILLIS && in.readNBytes(BYTES_PER_SECOND).length > 0) {
            Kit.sleep(1_000);
          }
        } else {
          int status = Callers.answer(in).status();
          record.line("reader " + reader + ": " + status);
          whole.incrementAndGet();
        }
        return;
      } catch (IOException e) {
        record.line("reader " + reader + ": " + e.getMessage());
      }
      Kit.sleep(1_000);
    }
  }
}
