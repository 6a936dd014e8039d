package review3;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * Two tenants submit a batch each. The id of one is the id of the other, a slash and more. Each
 * tenant must read the results of its own items only, each item once, and as many as it sent.
 */
final class SlashIds {
  private static final int OWN_ITEMS = 24;
  private static final int OTHER_ITEMS = 8;
  private static final int OWN_EVENTS = 60;
  private static final int OTHER_EVENTS = 20;
  private static final int BODY_CHARS = 800;
  private static final long READ_MILLIS = 20_000;

  public static void main(String[] arguments) throws Exception {
    Path folder = Files.createTempDirectory("review3-");
    Record record = new Record(Path.of(arguments[0], "record.txt"));
    List<Kit.Node> nodes = new ArrayList<>();
    int status = 2;
    try {
      status = play(folder, record, nodes);
    } catch (Exception e) {
      record.line("could not run: " + e);
    } finally {
      nodes.forEach(Kit.Node::close);
    }
    record.line("exit " + status);
    System.exit(status);
  }

  private static int play(Path folder, Record record, List<Kit.Node> nodes) throws Exception {
    Store store = new Store();
    store.put("op", "config", Trainer.CONFIG);
    for (int i = 0; i < 3; i++) {
      new Sampler("i-" + i, "llm", "m", 12, 33, store, record);
    }
    for (int i = 0; i < 2; i++) {
      nodes.add(new Kit.Node("front-z1-" + i, folder, store, record));
    }
    for (Kit.Node node : nodes) {
      node.awaitReady();
    }
    Thread.sleep(3_000);
    Trainer own =
        new Trainer("b7", Collections.nCopies(OWN_ITEMS, OWN_EVENTS), BODY_CHARS, nodes, record);
    String otherId = Kit.TROUBLE ? "b7/x" : "c7x";
    Trainer other =
        new Trainer(
            otherId, Collections.nCopies(OTHER_ITEMS, OTHER_EVENTS), BODY_CHARS, nodes, record);
    other.key = "k2";
    if (!own.submit(0) || !other.submit(1)) {
      return 2;
    }
    int foreign = 0;
    int again = 0;
    List<String> read = new ArrayList<>();
    long until = record.millis() + READ_MILLIS;
    int after = 0;
    while (record.millis() < until && read.size() < OWN_ITEMS) {
      Kit.Answer answer =
          Kit.call(
              nodes.get(1),
              Trainer.head("GET", "/briarward/lots/b7?after=" + after, "r" + after, "k1"),
              new byte[0],
              3_000);
      record.line("read b7 with the key of t1 after " + after + ": " + answer.status() + " "
          + answer.text());
      if (answer.status() == 200) {
        Map<String, Object> page = Json.object(answer.text());
        for (Map<String, Object> result : Json.objects(page.get("results"))) {
          String item = (String) result.get("id");
          if (!own.eventsByItem.containsKey(item)) {
            record.line("MIXED b7 (t1) lists " + item + " of batch " + otherId + " (t2)");
            foreign++;
          } else if (read.contains(item)) {
            record.line("TWICE b7 lists " + item + " at two positions");
            again++;
          } else {
            read.add(item);
          }
        }
        after = (int) (long) (Long) page.get("next");
      }
      Kit.sleep(500);
    }
    record.line("t1 read " + read.size() + " of its " + OWN_ITEMS + " items, " + foreign
        + " of t2, " + again + " again");
    return foreign > 0 || again > 0 ? 1 : read.size() == OWN_ITEMS ? 0 : 2;
  }
}
