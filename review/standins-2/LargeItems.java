import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One tenant's items are larger than a sampler's memory; another tenant's batch runs beside. */
final class LargeItems {
  private LargeItems() {}

  private static final int SAMPLERS = 6;
  private static final int SLOTS = 12;
  private static final int MEMORY_TOKENS = 38_259;
  private static final int GROUPS = 23;
  private static final int GROUP_SIZE = 8;
  private static final int DEADLINE_MS = 12_000;

  private static final Map<String, Long> LAST_AT_SAMPLER = new ConcurrentHashMap<>();
  private static final AtomicInteger RUNNING = new AtomicInteger();
  private static final AtomicInteger REJECTED = new AtomicInteger();

  private static String key(String tenant) {
    return "Host: mill.example\r\nApi-Key: key-of-" + tenant + "\r\n";
  }

  /** A sampler that rejects what is larger than its memory as if it were full. */
  private static final class ModelSampler extends Sampler {
    private final AtomicInteger running = new AtomicInteger();

    ModelSampler(String id) {
      super(id);
    }

    @Override
    void run(Kit.Message request, Kit.Channel channel) throws Exception {
      int tokens = 0;
      for (String part : request.header("briarward-token-count").split(",")) {
        tokens += Integer.parseInt(part);
      }
      if (tokens > MEMORY_TOKENS || running.get() >= SLOTS) {
        REJECTED.incrementAndGet();
        channel.respond(
            503,
            "Briarward-Request-Id: "
                + request.header("briarward-request-id")
                + "\r\nBriarward-Not-Run: 1\r\n",
            new byte[0]);
        return;
      }
      running.incrementAndGet();
      RUNNING.incrementAndGet();
      String item = request.header("briarward-request-id");
      LAST_AT_SAMPLER.put(item, Long.MAX_VALUE);
      try {
        stream(request, channel, 22, 100, "token ");
      } finally {
        LAST_AT_SAMPLER.put(item, Kit.nowMs());
        running.decrementAndGet();
        RUNNING.decrementAndGet();
      }
    }
  }

  public static void main(String[] args) throws Exception {
    Kit.openRecord(Path.of(args[0]));
    Path directory = Kit.temporaryFolder();
    Kit.Store store = Kit.Store.start();
    int cloud = Kit.serve("cloud", (request, channel) -> channel.respondJson(200, Kit.map()));
    Map<String, Object> route = Kit.route("b", "/b/", "rollout", "recipe-llm");
    Map<String, Object> service = Kit.service("recipe-llm");
    service.put("engine", Kit.map("kvCapacity", MEMORY_TOKENS));
    store.put(
        "op",
        "config",
        Kit.map(
            "version", 3,
            "routes", List.of(route),
            "services", List.of(service),
            "limits", Kit.limits(),
            "tenants",
                List.of(
                    Kit.map("name", "mill", "apiKeys", List.of("key-of-mill")),
                    Kit.map("name", "other", "apiKeys", List.of("key-of-other")))));
    for (int i = 1; i <= SAMPLERS; i++) {
      Sampler sampler = new ModelSampler("i-" + i).start();
      store.put("servers", "i-" + i, Kit.sampler("recipe-llm", sampler.port, SLOTS));
    }
    List<Kit.Node> nodes = new ArrayList<>();
    for (String zone : List.of("lautoka", "nadi")) {
      nodes.add(new Kit.Node("front-" + zone + "-1", zone, store.port, cloud, directory));
    }
    for (Kit.Node node : nodes) {
      node.start();
    }
    Kit.awaitReady(nodes);
    Thread.sleep(4_000); // The nodes know of each other.

    Kit.Node owner = nodes.get(0);
    Kit.Node reader = nodes.get(1);
    int promptTokens = Kit.trouble() ? 38_000 : 540;
    submit(owner, "other", "aaaaaaaaaaaaaaa1", promptTokens);
    Thread.sleep(1_000);
    long submittedAt = Kit.nowMs();
    submit(owner, "mill", "bbbbbbbbbbbbbbb2", 540);
    Set<String> listed = new HashSet<>();
    int most = 0;
    int next = 0;
    while (Kit.nowMs() < submittedAt + DEADLINE_MS) {
      Kit.Message page =
          Kit.call(
              reader.front,
              "GET",
              "/briarward/lots/bbbbbbbbbbbbbbb2?after=" + next,
              key("mill"),
              new byte[0],
              2_000);
      if (page != null && page.status() == 200) {
        Map<String, Object> body = Kit.parseMap(page.text());
        next = (int) Kit.number(body.get("next"));
        Kit.maps(body.get("results")).forEach(result -> listed.add((String) result.get("id")));
      }
      if (Kit.nowMs() > submittedAt + DEADLINE_MS - 5_000) {
        most = Math.max(most, RUNNING.get());
      }
      Kit.log(
          "listed "
              + listed.size()
              + " of "
              + GROUPS * GROUP_SIZE
              + ", running at samplers "
              + RUNNING.get()
              + ", rejected so far "
              + REJECTED.get());
      Thread.sleep(500);
    }
    int begun = 0;
    int idle = 0;
    long now = Kit.nowMs();
    for (int i = 0; i < GROUPS * GROUP_SIZE; i++) {
      String item = "bbbbbbbbbbbbbbb2-" + i;
      Long last = LAST_AT_SAMPLER.get(item);
      begun += last == null ? 0 : 1;
      boolean away = last == null || last < now;
      long awaySince = Math.max(submittedAt, last == null ? 0 : last);
      idle += !listed.contains(item) && away && now - awaySince >= 5_000 ? 1 : 0;
    }
    boolean halfEmpty = most < SAMPLERS * SLOTS / 2;
    Kit.exit(
        idle > 0 && begun > 0 && halfEmpty ? 1 : 0,
        "at the step's end: listed "
            + listed.size()
            + ", begun "
            + begun
            + ", at no sampler for the last 5 s "
            + idle
            + "; most runs at a time in these 5 s "
            + most
            + " of "
            + SAMPLERS * SLOTS
            + ", rejections "
            + REJECTED);
  }

  private static void submit(Kit.Node node, String tenant, String id, int promptTokens) {
    List<Object> items = new ArrayList<>();
    for (int i = 0; i < GROUPS * GROUP_SIZE; i++) {
      items.add(
          Kit.map(
              "id", id + "-" + i,
              "path", "/b/" + i,
              "headers",
                  Kit.map(
                      "Briarward-Model", "m0",
                      "Briarward-Token-Count", promptTokens + ",400",
                      "Briarward-Prompt-Prefix",
                          Integer.toHexString(1000 + i / GROUP_SIZE) + ":" + promptTokens),
              "body", "q83vEjRWeJA=",
              "tokenCount", promptTokens + 400,
              "group", "g" + i / GROUP_SIZE));
    }
    byte[] submission =
        Kit.json(
                Kit.map(
                    "step", 0,
                    "model", "m0",
                    "minVersion", 1,
                    "targetCount", GROUPS - 2,
                    "items", items))
            .getBytes(StandardCharsets.UTF_8);
    Kit.Message answer =
        Kit.call(
            node.front,
            "POST",
            "/b/x",
            key(tenant) + "Briarward-Request-Id: " + id + "\r\n",
            submission,
            10_000);
    Kit.log(
        tenant
            + " submits "
            + GROUPS * GROUP_SIZE
            + " items of "
            + (promptTokens + 400)
            + " tokens at "
            + node.name
            + ": "
            + (answer == null ? "nothing" : answer.line));
  }
}
