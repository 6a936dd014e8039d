package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sampler: runs items as streams of events, takes orders to load weights and renews its entry.
 *
 * <p>A stream has as many events as `Briarward-Length-Hint` says, one each {@link #stepMillis}.
 */
final class Sampler {
  private static final long LOOK_UP_MILLIS = 100;

  final String id;
  final AtomicInteger running = new AtomicInteger();
  private final String service;
  private final String model;
  private final int slots;
  private final long stepMillis;
  private final Store store;
  private final Record record;
  private final HttpServer server;
  private final AtomicLong orders = new AtomicLong();
  private final AtomicLong beats = new AtomicLong();
  private final long born = System.currentTimeMillis();
  private volatile long version = 1;

  Sampler(
      String id, String service, String model, int slots, long stepMillis, Store store,
      Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.model = model;
    this.slots = slots;
    this.stepMillis = stepMillis;
    this.store = store;
    this.record = record;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(Executors.newCachedThreadPool(Kit::daemon));
    server.createContext("/", this::handle);
    server.start();
    Kit.every(1_200, this::beat);
  }

  private String models() {
    return "[{\"name\":\"" + model + "\",\"version\":" + version + ",\"adapters\":[]}]";
  }

  private void beat() {
    store.put(
        "servers",
        id,
        "{\"service\":\"" + service + "\",\"addr\":\"127.0.0.1:" + server.getAddress().getPort()
            + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + slots
            + ",\"state\":\"ready\",\"warmupLeftMs\":0,\"stage\":\"both\",\"models\":" + models()
            + ",\"sequence\":" + beats.incrementAndGet() + ",\"born\":" + born + "}");
  }

  private void handle(HttpExchange call) {
    try {
      byte[] body = call.getRequestBody().readAllBytes();
      String path = call.getRequestURI().getPath();
      String expected = call.getRequestHeaders().getFirst("Briarward-Expect-Instance");
      if (expected != null && !expected.equals(id)) {
        call.getResponseHeaders().set("Briarward-Instance-Id", id);
        call.sendResponseHeaders(421, -1);
      } else if (path.equals("/briarward/report")) {
        answer(
            call,
            200,
            "{\"stage\":\"both\",\"models\":" + models() + ",\"busy\":false,\"sequence\":"
                + orders + ",\"numWaiting\":0,\"numRunning\":" + running
                + ",\"kvUsed\":0,\"kvTotal\":72560,\"handleCount\":0}");
      } else if (path.equals("/briarward/order")) {
        order(call, new String(body, StandardCharsets.UTF_8));
      } else if (path.equals("/healthz")) {
        call.getResponseHeaders().set("Briarward-Instance-Id", id);
        call.sendResponseHeaders(200, -1);
      } else if (path.startsWith("/p/")) {
        lookUp(call);
      } else {
        run(call);
      }
    } catch (IOException | InterruptedException e) {
      // The caller has closed the channel, so the request is dropped.
    } finally {
      call.close();
    }
  }

  private synchronized void order(HttpExchange call, String text) throws IOException {
    Map<String, Object> order = Json.object(text);
    long wanted = (Long) order.get("version");
    record.line("order " + id + " version=" + wanted + " holder=" + order.get("holder")
        + " fence=" + order.get("fence"));
    if (wanted == version) {
      answer(call, 200, "{}");
    } else if (order.get("expectRev") != null && (Long) order.get("expectRev") != orders.get()) {
      answer(call, 409, "{}");
    } else {
      orders.incrementAndGet();
      version = wanted;
      answer(call, 202, "{}");
    }
  }

  /** Answers a safe request after a while. */
  private void lookUp(HttpExchange call) throws IOException, InterruptedException {
    String request = call.getRequestHeaders().getFirst("Briarward-Request-Id");
    record.began(request, id, 0);
    Thread.sleep(LOOK_UP_MILLIS);
    call.getResponseHeaders().set("Briarward-Request-Id", request);
    call.getResponseHeaders().set("Briarward-Response-Seal", "seal." + request);
    answer(call, 200, "found");
    record.ended(request, id, true);
  }

  private void run(HttpExchange call) throws IOException, InterruptedException {
    String request = call.getRequestHeaders().getFirst("Briarward-Request-Id");
    call.getResponseHeaders().set("Briarward-Request-Id", request);
    if (running.incrementAndGet() > slots) {
      running.decrementAndGet();
      call.getResponseHeaders().set("Briarward-Not-Run", "1");
      call.sendResponseHeaders(503, -1);
      return;
    }
    int event = 0;
    try {
      String after = call.getRequestHeaders().getFirst("Last-Event-Id");
      event = after == null ? 0 : Integer.parseInt(after);
      int events = Integer.parseInt(call.getRequestHeaders().getFirst("Briarward-Length-Hint"));
      record.began(request, id, event);
      call.getResponseHeaders().set("Briarward-Response-Seal", "seal." + request);
      call.getResponseHeaders().set("Briarward-Weight-Versions", Long.toString(version));
      call.getResponseHeaders().set("Content-Type", "text/event-stream");
      call.sendResponseHeaders(200, 0);
      OutputStream out = call.getResponseBody();
      while (event < events) {
        Thread.sleep(stepMillis);
        event++;
        out.write(
            ("id: " + event + "\ndata: " + text(request, event) + "\n\n")
                .getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
      out.close();
      record.ended(request, id, true);
    } catch (IOException e) {
      record.ended(request, id, false);
      throw e;
    } finally {
      running.decrementAndGet();
    }
  }

  /** Returns the data of an event of an item. */
  static String text(String item, int event) {
    return item + "." + event;
  }

  private static void answer(HttpExchange call, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    call.getResponseHeaders().set("Content-Type", "application/json");
    call.sendResponseHeaders(status, bytes.length);
    call.getResponseBody().write(bytes);
  }
}
