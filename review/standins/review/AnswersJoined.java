package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends lookups while one of three samplers sends bytes without end in the bodies of a few answers.
 */
final class AnswersJoined {
  private static final int ANSWER_BYTES = 800;
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 25;
  private static final int CALLERS = 20;
  private static final long CALL_GAP_MILLIS = 100;
  private static final long CALM_MILLIS = 1_500;
  private static final long TROUBLE_MILLIS = 5_500;
  private static final int SPOILT_ONE_IN = 50;
  private static final int ENDLESS_CHUNK_BYTES = 8_192;
  private static final int READ_TIMEOUT_MILLIS = 5_000;

  private static final AtomicInteger joined = new AtomicInteger();
  private static final AtomicInteger brokenOff = new AtomicInteger();
  private static final AtomicInteger whole = new AtomicInteger();
  private static final AtomicInteger failures = new AtomicInteger();
  private static final AtomicInteger spoilt = new AtomicInteger();
  private static final AtomicInteger answers = new AtomicInteger();
  private static volatile boolean inTrouble;

  private AnswersJoined() {}

  public static void main(String[] arguments) throws Exception {
    Installation.main(arguments, AnswersJoined::run);
  }

  private static boolean run(Installation installation) throws Exception {
    String[] zones = {"lautoka", "nadi", "ba"};
    for (int i = 0; i < zones.length; i++) {
      boolean faulty = i == 0;
      installation.addSampler(
          "i-" + i,
          Installation.LOOKUP_SERVICE,
          zones[i],
          SLOTS,
          (sampler, request, exchange) -> answer(installation, sampler, request, exchange, faulty));
    }
    Nodes.Node node = installation.nodes.start("front-lautoka-1", zones[0]);
    node.awaitReady();
    Thread.sleep(3_000); // No disruption for as long as stableMs.
    long startMillis = System.currentTimeMillis();
    long endMillis = startMillis + CALM_MILLIS + TROUBLE_MILLIS;
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      Thread caller = new Thread(() -> callUntil(installation, node, number, endMillis));
      caller.start();
      callers.add(caller);
    }
    Thread.sleep(CALM_MILLIS);
    inTrouble = installation.trouble;
    installation.record.line("sampler i-0 in trouble: %s", inTrouble);
    for (Thread caller : callers) {
      caller.join();
    }
    installation.record.line(
        "%d answers were whole, %d failures, %d broken off; %d spoilt by i-0",
        whole.get(), failures.get(), brokenOff.get(), spoilt.get());
    installation.record.line(
        "%d successes ended regularly with a body that no sampler sent", joined.get());
    return joined.get() == 0;
  }

  private static void answer(
      Installation installation,
      Sampler sampler,
      HttpIo.Message request,
      LoopbackServer.Exchange exchange,
      boolean faulty)
      throws Exception {
    String id = request.header("Briarward-Request-Id").orElseThrow();
    Thread.sleep(WORK_MILLIS);
    Map<String, String> headers = Sampler.answerHeaders(request, "seal-" + id + "-" + sampler.id());
    headers.remove("Briarward-Weight-Versions");
    if (faulty && inTrouble && answers.incrementAndGet() % SPOILT_ONE_IN == 0) {
      spoilt.incrementAndGet();
      installation.record.line("run: request %s at %s, whose body has no end", id, sampler.id());
      sendWithoutEnd(exchange, headers);
    } else {
      exchange.respond(200, headers, body(id, sampler.id()));
    }
  }

  /** Sends bytes until the caller closes the connection. */
  private static void sendWithoutEnd(LoopbackServer.Exchange exchange, Map<String, String> headers)
      throws IOException {
    exchange.out().write(HttpIo.head("HTTP/1.1 200 OK", headers));
    byte[] chunk = new byte[ENDLESS_CHUNK_BYTES];
    Arrays.fill(chunk, (byte) '?');
    while (true) {
      exchange.out().write(chunk);
    }
  }

  private static byte[] body(String requestId, String samplerId) {
    String unit = requestId + "@" + samplerId + ";";
    return unit.repeat(ANSWER_BYTES / unit.length() + 1)
        .substring(0, ANSWER_BYTES)
        .getBytes(StandardCharsets.UTF_8);
  }

  private static void callUntil(
      Installation installation, Nodes.Node node, int caller, long endMillis) {
    for (int i = 0; System.currentTimeMillis() < endMillis; i++) {
      call(installation, node, String.format("%08x%08x", caller, i));
      Sampler.sleep(CALL_GAP_MILLIS);
    }
  }

  /** Sends one lookup and checks that a success has the body that one sampler sent. */
  private static void call(Installation installation, Nodes.Node node, String id) {
    HttpIo.Message answer;
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), node.callerPort)) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      Caller.write(
          socket,
          "POST " + Installation.LOOKUP_PREFIX + id,
          Installation.HOST,
          Installation.headers(id, 1_500),
          new byte[600]);
      answer = HttpIo.readResponse(HttpIo.buffered(socket.getInputStream()));
    } catch (IOException e) {
      // An answer that ends early does not look complete.
      brokenOff.incrementAndGet();
      installation.record.line("answer: request %s broken off: %s", id, e);
      return;
    }
    String receipt = answer.header("Briarward-Response-Seal").orElse("none");
    String samplerId = receipt.substring(receipt.lastIndexOf("-i-") + 1);
    if (answer.status() / 100 != 2) {
      failures.incrementAndGet();
    } else if (Arrays.equals(answer.body(), body(id, samplerId))) {
      whole.incrementAndGet();
    } else {
      joined.incrementAndGet();
      installation.record.line(
          "answer: request %s status %d receipt %s, %d bytes, the last %d are the answer of %s",
          id,
          answer.status(),
          receipt,
          answer.body().length,
          ANSWER_BYTES,
          senderOfEnd(answer.body(), id));
    }
  }

  /** Returns the sampler whose whole answer is at the end of a body. */
  private static String senderOfEnd(byte[] body, String id) {
    byte[] end = Arrays.copyOfRange(body, Math.max(0, body.length - ANSWER_BYTES), body.length);
    for (int i = 0; i < 3; i++) {
      if (Arrays.equals(end, body(id, "i-" + i))) {
        return "i-" + i;
      }
    }
    return "no sampler";
  }
}
