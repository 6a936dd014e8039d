import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A consumer submits one batch of legal size that is made of very many small items. */
final class ManyItems {
  private ManyItems() {}

  private static final String KEY = "Host: mill.example\r\nApi-Key: key-of-mill\r\n";
  private static final String BATCH = "7c41e09b52d6a3f8";
  private static final int PLAY_MS = 60_000;

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
    Sampler desk =
        new Sampler("i-9") {
          @Override
          void run(Kit.Message request, Kit.Channel channel) throws Exception {
            channel.respond(200, seal(request), "in stock".getBytes(StandardCharsets.UTF_8));
          }
        };
    store.put("servers", "i-9", Kit.sampler("order-desk", desk.start().port, 6));
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
    long until = Kit.nowMs() + PLAY_MS;
    boolean accepted = false;
    int liveServed = 0;
    int liveFailed = 0;
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
      Kit.Message page =
          Kit.call(
              node.front, "GET", "/briarward/lots/" + BATCH + "?after=0", KEY, new byte[0], 2_500);
      Kit.log(
          "at "
              + node.name
              + ": live "
              + (live == null ? "no answer" : live.line)
              + ", results "
              + (page == null ? "no answer" : page.line));
      Thread.sleep(500);
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
    Kit.exit(
        machines >= 2 ? 1 : 0,
        "own ends: "
            + ends
            + "accepted "
            + accepted
            + "; live served "
            + liveServed
            + ", failed "
            + liveFailed);
  }
}
