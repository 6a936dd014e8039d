package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;

/** A sampler that registers itself in the store and runs requests in a limited number of slots. */
final class Sampler implements AutoCloseable {
  static final String MODEL = "daka510000";
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long HEARTBEAT_MILLIS = 1_200;

  private final Store store;
  private final Record record;
  private final String id;
  private final String service;
  private final String zone;
  private final int slots;
  private final Work work;
  private final Semaphore freeSlots;
  private final LoopbackServer server;
  private final long bornMillis = System.currentTimeMillis();
  private volatile boolean closed;
  private int heartbeats;
  private int orders;

  /** Runs one request that has a slot and sends its response. */
  interface Work {
    void run(Sampler sampler, HttpIo.Message request, LoopbackServer.Exchange exchange)
        throws Exception;
  }

  Sampler(Store store, Record record, String id, String service, String zone, int slots, Work work)
      throws IOException {
    this.store = store;
    this.record = record;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.work = work;
    this.freeSlots = new Semaphore(slots);
    this.server = LoopbackServer.start(this::handle);
    LoopbackServer.startThread(this::register);
  }

  String id() {
    return id;
  }

  private void register() {
    while (!closed) {
      ObjectNode entry =
          JsonNodeFactory.instance
              .objectNode()
              .put("service", service)
              .put("addr", server.address())
              .put("zone", zone)
              .put("version", "v1")
              .put("slots", slots)
              .put("state", "ready")
              .put("warmupLeftMs", 0)
              .put("stage", "both")
              .put("sequence", ++heartbeats)
              .put("born", bornMillis);
      entry.putArray("models").add(model());
      store.put("servers", id, entry);
      sleep(HEARTBEAT_MILLIS);
    }
  }

  private static ObjectNode model() {
    ObjectNode model = JsonNodeFactory.instance.objectNode().put("name", MODEL).put("version", 1);
    model.putArray("adapters");
    return model;
  }

  private void handle(HttpIo.Message request, LoopbackServer.Exchange exchange) throws Exception {
    if (request.path().equals("/briarward/report")) {
      ObjectNode report =
          JsonNodeFactory.instance
              .objectNode()
              .put("stage", "both")
              .put("busy", false)
              .put("sequence", orders)
              .put("numWaiting", 0)
              .put("numRunning", slots - freeSlots.availablePermits())
              .put("kvUsed", 0)
              .put("kvTotal", 38_259)
              .put("handleCount", 0)
              .put("born", bornMillis);
      report.putArray("models").add(model());
      exchange.respond(
          200,
          Map.of("Content-Type", "application/json"),
          report.toString().getBytes(StandardCharsets.UTF_8));
    } else if (request.path().equals("/healthz")) {
      exchange.respond(200, Map.of("Briarward-Instance-Id", id), new byte[0]);
    } else if (request.path().equals("/briarward/order")) {
      JsonNode order = MAPPER.readTree(request.body());
      record.line("order at %s: %s", id, order);
      orders++;
      exchange.respond(202, Map.of(), new byte[0]);
    } else if (request
        .header("Briarward-Expect-Instance")
        .filter(each -> !each.equals(id))
        .isPresent()) {
      exchange.respond(421, Map.of("Briarward-Instance-Id", id), new byte[0]);
    } else if (!freeSlots.tryAcquire()) {
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Briarward-Not-Run", "1");
      request
          .header("Briarward-Request-Id")
          .ifPresent(it -> headers.put("Briarward-Request-Id", it));
      exchange.respond(503, headers, new byte[0]);
    } else {
      try {
        work.run(this, request, exchange);
      } finally {
        freeSlots.release();
      }
    }
  }

  /** Returns the headers of the response to a request that was run. */
  static Map<String, String> answerHeaders(HttpIo.Message request, String receipt) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Briarward-Request-Id", request.header("Briarward-Request-Id").orElse(""));
    headers.put("Briarward-Response-Seal", receipt);
    headers.put("Briarward-Weight-Versions", "1");
    return headers;
  }

  /**
   * Sends the text of an item as a stream of events, in chunks.
   *
   * @return whether the stream was sent to its end
   */
  static boolean streamEvents(
      HttpIo.Message request,
      LoopbackServer.Exchange exchange,
      String itemId,
      int events,
      int eventBytes,
      long gapMillis)
      throws Exception {
    Map<String, String> headers = answerHeaders(request, "seal-" + itemId);
    headers.put("Content-Type", "text/event-stream");
    headers.put("Transfer-Encoding", "chunked");
    exchange.out().write(HttpIo.head("HTTP/1.1 200 OK", headers));
    exchange.out().flush();
    int first = request.header("Last-Event-Id").map(Integer::parseInt).orElse(0) + 1;
    for (int event = first; event <= events; event++) {
      Thread.sleep(gapMillis);
      writeChunk(exchange, "id: " + event + "\ndata: " + data(itemId, event, eventBytes) + "\n\n");
    }
    exchange.out().write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    exchange.out().flush();
    return true;
  }

  /** Returns the data of an event, which is the same at every sampler. */
  static String data(String itemId, int event, int bytes) {
    String start = itemId + ":" + event + ":";
    return start + "x".repeat(Math.max(0, bytes - start.length()));
  }

  static void writeChunk(LoopbackServer.Exchange exchange, String text) throws IOException {
    String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    exchange.out().write(chunk.getBytes(StandardCharsets.UTF_8));
    exchange.out().flush();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
  }
}
