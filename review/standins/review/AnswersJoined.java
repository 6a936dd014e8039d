package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Sends lookups with long answers while one of two samplers is slow.
 *
 * <p>The answers have no length and are sent in chunks.
 */
final class AnswersJoined {
  private static final int CHUNKS = 80;
  private static final int CHUNK_BYTES = 10_000;
  private static final long CHUNK_GAP_MILLIS = 2;
  private static final double SLOW_FACTOR = 3.5;
  private static final int SLOTS = 6;
  private static final int REQUESTS = 24;
  private static final long REQUEST_GAP_MILLIS = 250;
  private static final long SLOW_MILLIS = 6_500;

  private static volatile boolean slow;

  private AnswersJoined() {}

  public static void main(String[] arguments) throws Exception {
    Installation.main(arguments, AnswersJoined::run);
  }

  private static boolean run(Installation installation) throws Exception {
    String[] zones = {"lautoka", "nadi", "ba"};
    for (int i = 0; i < zones.length; i++) {
      boolean slowed = i == 0;
      installation.addSampler(
          "i-" + i,
          Installation.LOOKUP_SERVICE,
          zones[i],
          SLOTS,
          (sampler, request, exchange) ->
              answer(installation, sampler, request, exchange, slowed));
    }
    Nodes.Node node = installation.nodes.start("front-lautoka-1", zones[0]);
    node.awaitReady();
    Thread.sleep(3_000); // No disruption for as long as stableMs.
    int joined = 0;
    // A few answers before the disruption, so that the node knows all samplers.
    for (int i = 0; i < REQUESTS / 4; i++) {
      joined += call(installation, node, "before" + i) ? 0 : 1;
      Thread.sleep(REQUEST_GAP_MILLIS);
    }
    long endMillis = System.currentTimeMillis() + SLOW_MILLIS;
    slow = installation.trouble;
    installation.record.line("sampler i-0 slow: %s", slow);
    for (int i = 0; i < REQUESTS && System.currentTimeMillis() < endMillis; i++) {
      joined += call(installation, node, "during" + i) ? 0 : 1;
      Thread.sleep(REQUEST_GAP_MILLIS);
    }
    slow = false;
    installation.record.line("%d successes had another body than any sampler sent", joined);
    return joined == 0;
  }

  /** Sends the answer of one sampler, whose bytes tell which sampler made them. */
  private static void answer(
      Installation installation,
      Sampler sampler,
      HttpIo.Message request,
      LoopbackServer.Exchange exchange,
      boolean slowed)
      throws Exception {
    String id = request.header("Briarward-Request-Id").orElseThrow();
    installation.record.line("run: request %s at %s", id, sampler.id());
    var headers = Sampler.answerHeaders(request, "seal-" + id + "-" + sampler.id());
    headers.remove("Briarward-Weight-Versions");
    headers.put("Transfer-Encoding", "chunked");
    exchange.out().write(HttpIo.head("HTTP/1.1 200 OK", headers));
    String chunk = body(id, sampler.id()).substring(0, CHUNK_BYTES);
    for (int i = 0; i < CHUNKS; i++) {
      Thread.sleep((long) (CHUNK_GAP_MILLIS * (slowed && slow ? SLOW_FACTOR : 1)));
      Sampler.writeChunk(exchange, chunk);
    }
    exchange.out().write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    exchange.out().flush();
  }

  private static String body(String requestId, String samplerId) {
    String unit = requestId + "@" + samplerId + ";";
    return unit.repeat(CHUNK_BYTES / unit.length() + 1).substring(0, CHUNK_BYTES).repeat(CHUNKS);
  }

  /** Sends one lookup and returns whether a success has the body that one sampler sent. */
  private static boolean call(Installation installation, Nodes.Node node, String name)
      throws IOException {
    String id = String.format("%16s", name).replace(' ', '0');
    HttpIo.Message answer;
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), node.callerPort)) {
      socket.setSoTimeout(5_000);
      Caller.write(
          socket,
          "POST " + Installation.LOOKUP_PREFIX + "2f",
          Installation.HOST,
          Installation.headers(id, 1_500),
          new byte[600]);
      answer = HttpIo.readResponse(HttpIo.buffered(socket.getInputStream()));
    } catch (IOException e) {
      // An answer that ends early does not look complete.
      installation.record.line("answer: request %s broken off: %s", id, e);
      return true;
    }
    String receipt = answer.header("Briarward-Response-Seal").orElse("none");
    boolean success = answer.status() / 100 == 2;
    String samplerId = receipt.substring(receipt.lastIndexOf("-i-") + 1);
    boolean whole = !success || answer.text().equals(body(id, samplerId));
    installation.record.line(
        "answer: request %s status %d receipt %s, %d bytes, %s",
        id, answer.status(), receipt, answer.body().length, whole ? "whole" : describe(answer, id));
    return whole;
  }

  private static String describe(HttpIo.Message answer, String id) {
    StringBuilder parts = new StringBuilder("NOT WHOLE:");
    for (int i = 0; i < 3; i++) {
      String unit = id + "@i-" + i + ";";
      long bytes = (long) answer.text().split(unit, -1).length - 1;
      parts.append(' ').append(bytes * unit.length()).append(" bytes of i-").append(i);
    }
    return parts.toString();
  }
}
