import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Random;

/** Consumers keep several batch submissions of legal size open at the same time. */
final class OpenBatches {
  private OpenBatches() {}

  private static final String KEY = "Host: mill.example\r\nApi-Key: key-of-mill\r\n";
  private static final int ITEMS = 48;
  private static final int WATCH_MS = 40_000;

  public static void main(String[] args) throws Exception {
    Kit.openRecord(Path.of(args[0]));
    int batches = Integer.parseInt(args[1]);
    int itemBytes = Kit.trouble() ? Integer.parseInt(args[2]) : 600;
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
    Sampler model =
        new Sampler("i-1") {
          @Override
          void run(Kit.Message request, Kit.Channel channel) throws Exception {
            stream(request, channel, 30, 500, "token ");
          }
        };
    Sampler desk =
        new Sampler("i-2") {
          @Override
          void run(Kit.Message request, Kit.Channel channel) throws Exception {
            channel.respond(200, seal(request), "in stock".getBytes(StandardCharsets.UTF_8));
          }
        };
    store.put("servers", "i-1", Kit.sampler("recipe-llm", model.start().port, 12));
    store.put("servers", "i-2", Kit.sampler("order-desk", desk.start().port, 6));
    List<Kit.Node> nodes = new ArrayList<>();
    for (String zone : List.of("lautoka", "nadi", "ba")) {
      nodes.add(new Kit.Node("front-" + zone + "-1", zone, store.port, cloud, directory));
    }
    for (Kit.Node node : nodes) {
      node.start();
    }
    Kit.awaitReady(nodes);

    byte[] body = new byte[itemBytes];
    new Random(1).nextBytes(body);
    String base64 = Base64.getEncoder().encodeToString(body);
    List<Object> items = new ArrayList<>();
    for (int i = 0; i < ITEMS; i++) {
      items.add(
          Kit.map(
              "id", "item-" + i,
              "path", "/b/" + i,
              "headers", Kit.map("Briarward-Model", "m0", "Briarward-Token-Count", "540,400"),
              "body", base64,
              "tokenCount", 940,
              "group", "g" + i / 8));
    }
    byte[] submission =
        Kit.json(
                Kit.map("step", 0, "model", "m0", "minVersion", 1, "targetCount", 6, "items", items))
            .getBytes(StandardCharsets.UTF_8);
    Kit.log(batches + " submissions of " + submission.length + " bytes");
    List<String> accepted = new ArrayList<>();
    for (int i = 0; i < batches && Kit.nowMs() < 45_000; i++) {
      String id = String.format("7c41e09b52d6a3%02x", i);
      for (int attempt = 0; attempt < 3; attempt++) {
        Kit.Message answer =
            Kit.call(
                nodes.get((i + attempt) % nodes.size()).front,
                "POST",
                "/b/x",
                KEY + "Briarward-Request-Id: " + id + "\r\n",
                submission,
                4_000);
        Kit.log("submission " + id + ": " + (answer == null ? "no answer" : answer.line));
        if (answer != null && answer.status() == 202) {
          accepted.add(id);
          break;
        }
        Thread.sleep(500);
      }
    }
    Kit.log(accepted.size() + " submissions were accepted");

    int liveServed = 0;
    int liveFailed = 0;
    long until = Kit.nowMs() + WATCH_MS;
    for (int i = 0; Kit.nowMs() < until; i++) {
      Kit.Node node = nodes.get(i % nodes.size());
      Kit.Message live =
          Kit.call(
              node.front,
              "POST",
              "/l/x",
              KEY + "Briarward-Deadline-Ms: 1500\r\nBriarward-Request-Id: live-" + i + "\r\n",
              new byte[0],
              1_500);
      boolean served = live != null && live.status() == 200;
      liveServed += served ? 1 : 0;
      liveFailed += served ? 0 : 1;
      String id = accepted.get(i % accepted.size());
      Kit.Message page =
          Kit.call(node.front, "GET", "/briarward/lots/" + id + "?after=0", KEY, new byte[0], 2_500);
      Kit.log(
          "at "
              + node.name
              + ": live "
              + (live == null ? "no answer" : live.line)
              + ", results of "
              + id
              + " "
              + (page == null ? "no answer" : page.line));
      Thread.sleep(300);
    }
    int finished = 0;
    int unreadable = 0;
    for (String id : accepted) {
      Kit.Message page = null;
      for (int attempt = 0; attempt < 2 * nodes.size(); attempt++) {
        page =
            Kit.call(
                nodes.get(attempt % nodes.size()).front,
                "GET",
                "/briarward/lots/" + id + "?after=0",
                KEY,
                new byte[0],
                1_000);
        if (page != null && page.status() == 200) {
          break;
        }
      }
      if (page == null || page.status() != 200) {
        unreadable++;
      } else if (Kit.number(Kit.parseMap(page.text()).get("next")) == ITEMS) {
        finished++;
      }
      if (Kit.nowMs() > 105_000) {
        break;
      }
    }
    StringBuilder ends = new StringBuilder();
    int machines = 0;
    for (Kit.Node node : nodes) {
      ends.append(node.name).append(' ').append(node.ownEnds).append(", ");
      machines += node.ownEnds >= 3 ? 1 : 0;
      for (String line : node.output().split("\n")) {
        if (line.contains("OutOfMemory")) {
          Kit.log(node.name + " wrote: " + line);
        }
      }
    }
    String figures =
        "own ends: "
            + ends
            + "accepted "
            + accepted.size()
            + ", finished "
            + finished
            + ", unreadable "
            + unreadable
            + "; live served "
            + liveServed
            + ", failed "
            + liveFailed;
    Kit.exit(machines >= 2 ? 1 : 0, figures);
  }
}
