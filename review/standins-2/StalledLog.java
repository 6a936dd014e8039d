import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** What reads the standard output of the nodes stops reading. */
final class StalledLog {
  private StalledLog() {}

  private static final String KEY = "Host: mill.example\r\nApi-Key: key-of-mill\r\n";
  private static final int TIMEOUT_MS = 1_500;
  private static final int CALLERS = 6;
  private static final int CALM_MS = 5_000;
  private static final int PLAY_MS = 60_000;

  public static void main(String[] args) throws Exception {
    Kit.openRecord(Path.of(args[0]));
    Path directory = Kit.temporaryFolder();
    Kit.Store store = Kit.Store.start();
    int cloud = Kit.serve("cloud", (request, channel) -> channel.respondJson(200, Kit.map()));
    var route = Kit.route("l", "/l/", "safe", "order-desk");
    route.put("timeoutMs", TIMEOUT_MS);
    route.put("goalMs", 150);
    store.put(
        "op",
        "config",
        Kit.map(
            "version", 3,
            "routes", List.of(route),
            "services", List.of(Kit.service("order-desk")),
            "limits", Kit.limits(),
            "tenants", List.of(Kit.map("name", "mill", "apiKeys", List.of("key-of-mill")))));
    for (String id : List.of("i-1", "i-2", "i-3")) {
      Sampler desk =
          new Sampler(id) {
            @Override
            void run(Kit.Message request, Kit.Channel channel) throws Exception {
              Thread.sleep(25);
              channel.respond(200, seal(request), "in stock".getBytes(StandardCharsets.UTF_8));
            }
          };
      store.put("servers", id, Kit.sampler("order-desk", desk.start().port, 6));
    }
    List<Kit.Node> nodes = new ArrayList<>();
    for (String zone : List.of("lautoka", "nadi", "ba")) {
      nodes.add(new Kit.Node("front-" + zone + "-1", zone, store.port, cloud, directory));
    }
    for (Kit.Node node : nodes) {
      node.pipeOutput();
      node.start();
    }
    Kit.awaitReady(nodes);

    AtomicInteger sent = new AtomicInteger();
    AtomicInteger inTime = new AtomicInteger();
    AtomicInteger soonAfter = new AtomicInteger();
    AtomicInteger unanswered = new AtomicInteger();
    long from = Kit.nowMs();
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    for (int c = 0; c < CALLERS; c++) {
      Kit.Node node = nodes.get(c % nodes.size());
      callers.execute(
          () -> {
            while (Kit.nowMs() < from + PLAY_MS) {
              String id = "live-" + sent.incrementAndGet();
              long sentAt = Kit.nowMs();
              Kit.Message answer =
                  Kit.call(
                      node.front,
                      "POST",
                      "/l/x",
                      KEY + "Briarward-Deadline-Ms: 4000\r\nBriarward-Request-Id: " + id + "\r\n",
                      new byte[0],
                      4_000);
              long tookMs = Kit.nowMs() - sentAt;
              if (answer != null && tookMs <= TIMEOUT_MS) {
                inTime.incrementAndGet();
              } else if (answer != null && tookMs <= TIMEOUT_MS + 500) {
                soonAfter.incrementAndGet();
              } else {
                unanswered.incrementAndGet();
                Kit.log(
                    id + " at " + node.name + ": no answer within " + (TIMEOUT_MS + 500) + " ms");
              }
              try {
                Thread.sleep(20);
              } catch (InterruptedException e) {
                return;
              }
            }
          });
    }
    Thread.sleep(CALM_MS);
    if (Kit.trouble()) {
      for (Kit.Node node : nodes) {
        node.outputStalled = true;
      }
      Kit.log("the readers of standard output stop, after " + sent + " requests");
    }
    callers.shutdown();
    callers.awaitTermination(PLAY_MS + 10_000, TimeUnit.MILLISECONDS);
    int alive = 0;
    for (Kit.Node node : nodes) {
      alive += node.process.isAlive() ? 1 : 0;
    }
    int late = soonAfter.get() + unanswered.get();
    boolean broken = unanswered.get() >= 8 && 2 * unanswered.get() > late;
    Kit.exit(
        broken ? 1 : 0,
        "requests "
            + sent
            + ", answered in the route's time "
            + inTime
            + ", in the half second after "
            + soonAfter
            + ", unanswered then "
            + unanswered
            + "; processes alive "
            + alive
            + ", own ends "
            + (nodes.get(0).ownEnds + nodes.get(1).ownEnds + nodes.get(2).ownEnds));
  }
}
