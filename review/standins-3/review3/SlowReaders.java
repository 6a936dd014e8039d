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
  private static final int TIMEOUT_MILLIS = 1_500;
  private static final int SLACK_MILLIS = 500;
  private static final int DEADLINE_MILLIS = 4_000;
  private static final int MIN_LATE = 8;
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
    if (!trainer.submit(1)) {
      return 2;
    }
    long start = record.millis();
    Counts counts = new Counts();
    for (int i = 0; i < CALLERS; i++) {
      int caller = i;
      Kit.daemon(() -> call(caller, nodes.get(0), start, counts, record)).start();
    }
    Thread.sleep(2_000);
    AtomicInteger whole = new AtomicInteger();
    for (int i = 0; i < READERS; i++) {
      int reader = i;
      Kit.daemon(() -> read(reader, nodes.get(0), start, whole, record)).start();
      Thread.sleep(250);
    }
    Thread.sleep(Math.max(0, start + PLAY_MILLIS - record.millis()));
    int ownEnds = nodes.stream().mapToInt(each -> each.ownEnds).sum();
    int late = counts.late.get();
    int tooLate = counts.tooLate.get();
    record.line("safe requests: " + counts.served + " served, " + late + " unanswered at timeoutMs, "
        + tooLate + " of them half a second later; bodies read " + whole
        + "; processes that ended by themselves " + ownEnds);
    return late >= MIN_LATE && tooLate * 2 > late ? 1 : 0;
  }

  /** What became of the safe requests. */
  private static final class Counts {
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger late = new AtomicInteger();
    final AtomicInteger tooLate = new AtomicInteger();
  }

  /** Sends safe requests on kept channels, one after another. */
  private static void call(int caller, Kit.Node node, long start, Counts counts, Record record) {
    for (int i = 0; record.millis() < start + PLAY_MILLIS; ) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", node.front), 1_000);
        socket.setSoTimeout(DEADLINE_MILLIS);
        int status = 200;
        while (status != 0 && record.millis() < start + PLAY_MILLIS) {
          String id = "c" + caller + "n" + i++;
          long sentAt = record.millis();
          socket
              .getOutputStream()
              .write(
                  (Trainer.head("POST", "/p/" + id, id)
                          + "Briarward-Deadline-Ms: "
                          + DEADLINE_MILLIS
                          + "\r\nContent-Length: 2\r\n\r\nhi")
                      .getBytes(StandardCharsets.UTF_8));
          status = answer(socket.getInputStream());
          long tookMillis = record.millis() - sentAt;
          counts.served.addAndGet(status == 200 ? 1 : 0);
          counts.late.addAndGet(tookMillis > TIMEOUT_MILLIS ? 1 : 0);
          counts.tooLate.addAndGet(tookMillis > TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0);
          if (status != 200 || tookMillis > TIMEOUT_MILLIS) {
            record.line("safe " + id + ": " + (status == 0 ? "no answer" : status) + " after "
                + tookMillis + " ms");
          }
        }
      } catch (IOException e) {
        record.line("safe caller " + caller + ": " + e.getMessage());
      }
      Kit.sleep(100);
    }
  }

  /** Returns the status of a whole answer, 0 if the channel ends before. */
  private static int answer(InputStream in) {
    try {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = in.read();
        if (next < 0) {
          return 0;
        }
        head.append((char) next);
      }
      String lower = head.toString().toLowerCase();
      int at = lower.indexOf("content-length:");
      int length = Integer.parseInt(lower.substring(at + 15, lower.indexOf('\r', at)).trim());
      return in.readNBytes(length).length < length ? 0 : Integer.parseInt(head.substring(9, 12));
    } catch (IOException e) {
      return 0;
    }
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
          int status = answer(in);
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
