import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A consumer submits one batch of legal size that is made of very many small items, while ordinary
 * callers send requests on kept channels.
 */
final class ManyItems {
  private ManyItems() {}

  private static final String KEY = "Host: mill.example\r\nApi-Key: key-of-mill\r\n";
  private static final String BATCH = "7c41e09b52d6a3f8";
  private static final int CALM_MS = 4_000;
  private static final int PLAY_MS = 30_000;
  private static final int CALLERS_PER_NODE = 6;

  /** The ids of the requests that a sampler began to run. */
  private static final Set<String> BEGUN = ConcurrentHashMap.newKeySet();

  /** How often a channel ended under a request that was passed on, by node. */
  private static final Map<String, AtomicInteger> CUTS = new ConcurrentHashMap<>();

  private static final AtomicInteger SENT = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();

  public static void main(String[] args) throws Exception {
    Kit.openRecord(Path.of(args[0]));
    int itemCount = Kit.trouble() ? Integer.parseInt(args[1]) : 184;
    Path directory = Kit.temporaryFolder();
    Kit.Store store = Kit.Store.start();
    int cloud = Kit.serve("cloud", (request, channel) -> channel.respondJson(200, Kit.map()));
    store.put(
        "op",
        "config",
        Kit.map(
            "version", 3,
            "routes",
                List.of(
                    Kit.route("b", "/b/", "rollout", "recipe-llm"),
                    Kit.route("l", "/l/", "safe", "order-desk")),
            "services", List.of(Kit.service("recipe-llm"), Kit.service("order-desk")),
            "limits", Kit.limits(),
            "tenants", List.of(Kit.map("name", "mill", "apiKeys", List.of("key-of-mill")))));
    for (String id : List.of("i-7", "i-8", "i-9")) {
      Sampler desk =
          new Sampler(id) {
            @Override
            void run(Kit.Message request, Kit.Channel channel) throws Exception {
              BEGUN.add(request.header("briarward-request-id"));
              Thread.sleep(36);
              channel.respond(200, seal(request), "in stock".getBytes(StandardCharsets.UTF_8));
            }
          };
      store.put("servers", id, Kit.sampler("order-desk", desk.start().port, 6));
    }
    for (String id : List.of("i-1", "i-2")) {
      Sampler model =
          new Sampler(id) {
            @Override
            void run(Kit.Message request, Kit.Channel channel) throws Exception {
              stream(request, channel, 3, 20, "token ");
            }
          };
      store.put("servers", id, Kit.sampler("recipe-llm", model.start().port, 12));
    }
    List<Kit.Node> nodes = new ArrayList<>();
    for (String zone : List.of("lautoka", "nadi", "ba")) {
      nodes.add(new Kit.Node("front-" + zone + "-1", zone, store.port, cloud, directory));
    }
    for (Kit.Node node : nodes) {
      node.start();
    }
    Kit.awaitReady(nodes);
    StringBuilder json =
        new StringBuilder("{\"step\":0,\"model\":\"m0\",\"minVersion\":1,\"targetCount\":1,\"items\":[");
    for (int i = 0; i < itemCount; i++) {
      json.append(i == 0 ? "" : ",")
          .append("{\"id\":\"")
          .append(Integer.toHexString(i))
          .append("\",\"path\":\"/b/1\",\"body\":\"\"}");
    }
    byte[] submission = json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    Kit.log("one submission of " + itemCount + " items, " + submission.length + " bytes");
    long until = Kit.nowMs() + CALM_MS + PLAY_MS;
    for (Kit.Node node : nodes) {
      CUTS.put(node.name, new AtomicInteger());
      for (int i = 0; i < CALLERS_PER_NODE; i++) {
        Thread caller = new Thread(() -> callOnKeptChannels(node, until));
        caller.setDaemon(true);
        caller.start();
      }
    }
    Thread.sleep(CALM_MS);
    boolean accepted = false;
    for (int i = 0; Kit.nowMs() < until; i++) {
      Kit.Node node = nodes.get(i % nodes.size());
      if (!accepted) {
        Kit.Message answer =
            Kit.call(
                node.front,
                "POST",
                "/b/x",
                KEY + "Briarward-Request-Id: " + BATCH + "\r\n",
                submission,
                4_000);
        Kit.log("submission at " + node.name + ": " + (answer == null ? "no answer" : answer.line));
        accepted = answer != null && answer.status() == 202;
      }
      Thread.sleep(500);
    }
    StringBuilder ends = new StringBuilder();
    int most = 0;
    for (Kit.Node node : nodes) {
      int cuts = CUTS.get(node.name).get();
      most = Math.max(most, cuts);
      ends.append(node.name).append(' ').append(node.ownEnds).append(" with ").append(cuts).append(
          " cuts, ");
      for (String line : node.output().split("\n")) {
        if (line.contains("OutOfMemory")) {
          Kit.log(node.name + " wrote: " + line);
        }
      }
    }
    Kit.exit(
        most > 3 ? 1 : 0,
        "own ends: "
            + ends
            + "accepted "
            + accepted
            + "; ordinary requests sent "
            + SENT
            + ", served "
            + SERVED);
  }

  /** Sends one request after the other on a channel, and opens another one when it has ended. */
  private static void callOnKeptChannels(Kit.Node node, long until) {
    while (Kit.nowMs() < until) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", node.front), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(4_000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean kept = false;
        while (Kit.nowMs() < until && callOnce(node, socket, in, kept)) {
          kept = true;
          Thread.sleep(20);
        }
      } catch (IOException e) {
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends a request and returns whether it was answered; counts a cut as the rule says. */
  private static boolean callOnce(Kit.Node node, Socket socket, InputStream in, boolean kept)
      throws IOException {
    String id = "live-" + SENT.incrementAndGet();
    Kit.Message answer = null;
    boolean ended = true;
    try {
      socket
          .getOutputStream()
          .write(
              ("POST /l/x HTTP/1.1\r\n"
                      + KEY
                      + "Briarward-Deadline-Ms: 1500\r\nBriarward-Request-Id: "
                      + id
                      + "\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
      answer = Kit.readMessage(in, true);
    } catch (SocketTimeoutException e) {
      ended = false;
    } catch (IOException e) {
      // The channel has ended with a reset.
    }
    if (answer != null) {
      SERVED.addAndGet(answer.status() == 200 ? 1 : 0);
      return true;
    }
    if (ended && kept && BEGUN.contains(id)) {
      CUTS.get(node.name).incrementAndGet();
      Kit.log(id + " at " + node.name + ": passed on, and its kept channel ended without an answer");
    }
    return false;
  }

  private static void pause() {
    try {
      Thread.sleep(50);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
