import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/** A batch submission with an item whose header map holds a field of the message framing. */
final class SmuggledItem {
  private SmuggledItem() {}

  private static final String KEY = "Host: mill.example\r\nApi-Key: key-of-mill\r\n";

  public static void main(String[] args) throws Exception {
    Kit.openRecord(Path.of(args[0]));
    Path directory = Kit.temporaryFolder();
    Kit.Store store = Kit.Store.start();
    int cloud = Kit.serve("cloud", (request, channel) -> channel.respondJson(200, Kit.map()));
    store.put(
        "op",
        "config",
        Kit.map(
            "version", 3,
            "routes", List.of(Kit.route("b", "/b/", "rollout", "recipe-llm")),
            "services", List.of(Kit.service("recipe-llm")),
            "limits", Kit.limits(),
            "tenants",
                List.of(
                    Kit.map("name", "mill", "apiKeys", List.of("key-of-mill")),
                    Kit.map("name", "rival", "apiKeys", List.of("key-of-rival")))));
    for (String id : List.of("i-1", "i-2")) {
      store.put("servers", id, Kit.sampler("recipe-llm", new Sampler(id).start().port, 12));
    }
    List<Kit.Node> nodes = new ArrayList<>();
    for (String zone : List.of("lautoka", "nadi")) {
      nodes.add(new Kit.Node("front-" + zone + "-1", zone, store.port, cloud, directory));
    }
    for (Kit.Node node : nodes) {
      node.start();
    }
    Kit.awaitReady(nodes);

    String inner =
        "POST /b/inner HTTP/1.1\r\nHost: mill.example\r\nBriarward-Request-Id: never-sent\r\n"
            + "Briarward-Tenant: rival\r\nContent-Length: 0\r\n\r\n";
    List<Object> items = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Map<String, Object> headers =
          Kit.map("Briarward-Model", "m0", "Briarward-Token-Count", "540,400");
      if (Kit.trouble() && i == 0) {
        headers.put("Content-Length", "0");
      }
      items.add(
          Kit.map(
              "id", "item-" + i,
              "path", "/b/" + i,
              "headers", headers,
              "body",
                  Base64.getEncoder().encodeToString(inner.getBytes(StandardCharsets.UTF_8)),
              "tokenCount", 940,
              "group", "g1"));
    }
    byte[] submission =
        Kit.json(
                Kit.map(
                    "step", 0, "model", "m0", "minVersion", 1, "targetCount", 1, "items", items))
            .getBytes(StandardCharsets.UTF_8);
    Kit.Message answer =
        Kit.call(
            nodes.get(0).front,
            "POST",
            "/b/x",
            KEY + "Briarward-Request-Id: 7c41e09b52d6a3f8\r\n",
            submission,
            10_000);
    Kit.log("submission answered: " + (answer == null ? "nothing" : answer.line + " " + answer.text()));
    long until = Kit.nowMs() + 15_000;
    while (Kit.nowMs() < until) {
      Kit.Message page =
          Kit.call(
              nodes.get(1).front,
              "GET",
              "/briarward/lots/7c41e09b52d6a3f8?after=0",
              KEY + "Briarward-Wait-Ms: 1000\r\n",
              new byte[0],
              5_000);
      Kit.log("results: " + (page == null ? "nothing" : page.line + " " + page.text()));
      if (page == null || page.status() != 200 || Kit.number(Kit.parseMap(page.text()).get("next")) == 4) {
        break;
      }
      Thread.sleep(500);
    }
    Thread.sleep(500);
    List<Sampler.Run> smuggled = Sampler.runs("never-sent");
    if (!smuggled.isEmpty()) {
      Kit.exit(1, "UNASKED broken: a sampler ran a request that no consumer sent: " + smuggled);
    }
    Kit.exit(0, "UNASKED held");
  }
}
