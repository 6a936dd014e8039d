package review3;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Consumers that send safe requests to one node on kept channels, one after another. */
final class Callers {
  private static final int TIMEOUT_MILLIS = 1_500;
  private static final int SLACK_MILLIS = 500;
  private static final int DEADLINE_MILLIS = 4_000;
  private static final int CLOSED = 0;
  private static final int SILENT = -1;

  final AtomicInteger served = new AtomicInteger();

  /** Requests without an answer at the route's `timeoutMs`. */
  final AtomicInteger late = new AtomicInteger();

  /** Requests without an answer half a second after the route's `timeoutMs`. */
  final AtomicInteger tooLate = new AtomicInteger();

  /**
   * Requests, not the first of their channel, that a sampler got and whose channel the node closed
   * without an answer.
   */
  final AtomicInteger cut = new AtomicInteger();

  private final Kit.Node node;
  private final Record record;
  private final long untilMillis;

  private Callers(Kit.Node node, Record record, long untilMillis) {
    this.node = node;
    this.record = record;
    this.untilMillis = untilMillis;
  }

  static Callers start(int count, Kit.Node node, Record record, long untilMillis) {
    Callers callers = new Callers(node, record, untilMillis);
    for (int i = 0; i < count; i++) {
      int caller = i;
      Kit.daemon(() -> callers.call(caller)).start();
    }
    return callers;
  }

  private void call(int caller) {
    for (int i = 0; record.millis() < untilMillis; ) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", node.front), 1_000);
        socket.setSoTimeout(DEADLINE_MILLIS);
        int status = 200;
        for (boolean kept = false; status > 0 && record.millis() < untilMillis; kept = true) {
          Answer answer = send(socket, "c" + caller + "n" + i++, kept);
          status = answer.status();
          Kit.sleep(answer.retryAfterMillis());
        }
      } catch (IOException e) {
        record.line("safe caller " + caller + ": " + e.getMessage());
      }
      Kit.sleep(100);
    }
  }

  private Answer send(Socket socket, String id, boolean kept) throws IOException {
    long sentAt = record.millis();
    socket
        .getOutputStream()
        .write(
            (Trainer.head("POST", "/p/" + id, id)
                    + "Briarward-Deadline-Ms: "
                    + DEADLINE_MILLIS
                    + "\r\nContent-Length: 2\r\n\r\nhi")
                .getBytes(StandardCharsets.UTF_8));
    Answer received = answer(socket.getInputStream());
    int status = received.status();
    long tookMillis = record.millis() - sentAt;
    served.addAndGet(status == 200 ? 1 : 0);
    late.addAndGet(tookMillis > TIMEOUT_MILLIS ? 1 : 0);
    tooLate.addAndGet(tookMillis > TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0);
    boolean passedOn = record.lastAt.containsKey(id);
    cut.addAndGet(status == CLOSED && passedOn && kept ? 1 : 0);
    if (status != 200 || tookMillis > TIMEOUT_MILLIS) {
      String answer =
          status == CLOSED ? "channel closed" : status == SILENT ? "no answer" : "" + status;
      record.line(
          "safe " + id + ": " + answer + " after " + tookMillis + " ms"
              + (passedOn ? ", passed on to a sampler" : ""));
    }
    return received;
  }

  /** The status of a whole answer, or how the wait for one ended. */
  record Answer(int status, long retryAfterMillis) {}

  /** Reads an answer. */
  static Answer answer(InputStream in) {
    try {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = in.read();
        if (next < 0) {
          return new Answer(CLOSED, 0);
        }
        head.append((char) next);
      }
      String lower = head.toString().toLowerCase();
      int at = lower.indexOf("content-length:");
      int length = Integer.parseInt(lower.substring(at + 15, lower.indexOf('\r', at)).trim());
      boolean whole = in.readNBytes(length).length == length;
      return whole
          ? new Answer(
              Integer.parseInt(head.substring(9, 12)), Kit.retryAfterMillis(head.toString()))
          : new Answer(CLOSED, 0);
    } catch (SocketTimeoutException e) {
      return new Answer(SILENT, 0);
    } catch (IOException e) {
      return new Answer(CLOSED, 0);
    }
  }
}
