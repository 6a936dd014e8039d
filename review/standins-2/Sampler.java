import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A stand-in of a sampler; a case overrides how it answers requests that are to run. */
class Sampler {
  final String id;
  int port;
  long version = 1;
  long sequence;

  /** One request that this sampler began to run. */
  record Run(String sampler, String line, String requestId, String tenant, long atMs) {}

  static final ConcurrentLinkedQueue<Run> RUNS = new ConcurrentLinkedQueue<>();

  Sampler(String id) {
    this.id = id;
  }

  Sampler start() throws IOException {
    port = Kit.serve("sampler-" + id, this::handle);
    return this;
  }

  void handle(Kit.Message request, Kit.Channel channel) throws Exception {
    switch (request.path()) {
      case "/briarward/report" -> channel.respondJson(
          200,
          Kit.map(
              "stage", "both",
              "models", List.of(Kit.map("name", "m0", "version", version, "adapters", List.of())),
              "busy", false, "sequence", sequence, "numWaiting", 0, "numRunning", 0,
              "kvUsed", 0, "kvTotal", 38259, "handleCount", 0));
      case "/briarward/order" -> {
        Map<String, Object> order = Kit.parseMap(request.text());
        sequence++;
        version = Kit.number(order.get("version"));
        Kit.log("order at " + id + ": " + request.text());
        channel.respondJson(202, Kit.map());
      }
      case "/healthz" -> channel.respond(
          200, "Briarward-Instance-Id: " + id + "\r\n", new byte[0]);
      default -> {
        String expected = request.header("briarward-expect-instance");
        if (expected != null && !expected.equals(id)) {
          channel.respond(421, "Briarward-Not-Run: 1\r\n", new byte[0]);
        } else if (request.header("briarward-request-id") == null) {
          channel.respond(400, "Briarward-Not-Run: 1\r\n", new byte[0]);
        } else {
          run(request, channel);
        }
      }
    }
  }

  void began(Kit.Message request) {
    RUNS.add(
        new Run(
            id,
            request.line,
            request.header("briarward-request-id"),
            request.header("briarward-tenant"),
            Kit.nowMs()));
    Kit.log(
        "run at "
            + id
            + ": "
            + request.line
            + " id="
            + request.header("briarward-request-id")
            + " tenant="
            + request.header("briarward-tenant"));
  }

  /** Runs a request; answers it whole. */
  void run(Kit.Message request, Kit.Channel channel) throws Exception {
    began(request);
    Thread.sleep(20);
    stream(request, channel, 5, 20, "token ");
  }

  /** Answers with a stream of events, each of which has the given text and its number. */
  void stream(Kit.Message request, Kit.Channel channel, int events, int pauseMs, String text)
      throws Exception {
    channel.send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + seal(request)
            + "Briarward-Weight-Versions: "
            + version
            + "\r\n\r\n");
    String last = request.header("last-event-id");
    for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
      String event = "id: " + i + "\ndata: " + text + i + "\n\n";
      channel.send(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      Thread.sleep(pauseMs);
    }
    channel.send("0\r\n\r\n");
  }

  static String seal(Kit.Message request) {
    return "Briarward-Request-Id: "
        + request.header("briarward-request-id")
        + "\r\nBriarward-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
  }

  static List<Run> runs(String requestId) {
    List<Run> found = new ArrayList<>();
    for (Run run : RUNS) {
      if (requestId.equals(run.requestId())) {
        found.add(run);
      }
    }
    return found;
  }
}
