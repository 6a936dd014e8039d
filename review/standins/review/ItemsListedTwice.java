package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Kills the node that runs a batch once most items are listed, and reads the results at another.
 *
 * <p>The texts have 20 KB, so a read of 60 results exceeds what the store returns at once.
 */
final class ItemsListedTwice {
  private static final String BATCH = "7c41e09b52d6a3f8";
  private static final int GROUPS = 16;
  private static final int ITEMS_PER_GROUP = 8;
  private static final int EVENTS = 40;
  private static final int EVENT_BYTES = 500;
  private static final long EVENT_GAP_MILLIS = 25;
  private static final int SLOTS = 6;
  private static final int LISTED_AT_KILL = 72;
  private static final long READ_TIMEOUT_MILLIS = 40_000;

  private ItemsListedTwice() {}

  public static void main(String[] arguments) throws Exception {
    Installation.main(arguments, ItemsListedTwice::run);
  }

  private static boolean run(Installation installation) throws Exception {
    Map<String, Integer> runs = new ConcurrentHashMap<>();
    String[] zones = {"lautoka", "nadi", "ba"};
    for (int i = 0; i < zones.length; i++) {
      installation.addSampler(
          "i-" + i,
          Installation.ROLLOUT_SERVICE,
          zones[i],
          SLOTS,
          (sampler, request, exchange) -> {
            String item = request.header("Briarward-Request-Id").orElseThrow();
            runs.merge(item, 1, Integer::sum);
            installation.record.line("run: item %s at %s", item, sampler.id());
            Sampler.streamEvents(request, exchange, item, EVENTS, EVENT_BYTES, EVENT_GAP_MILLIS);
          });
    }
    Nodes.Node owner = installation.nodes.start("front-lautoka-1", zones[0]);
    Nodes.Node second = installation.nodes.start("front-nadi-1", zones[1]);
    Nodes.Node third = installation.nodes.start("front-ba-1", zones[2]);
    owner.awaitReady();
    second.awaitReady();
    third.awaitReady();
    Thread.sleep(3_000); // No disruption for as long as stableMs.
    installation.submit(owner, BATCH, Installation.submission(GROUPS, ITEMS_PER_GROUP));
    if (installation.trouble) {
      while (installation.listed(BATCH) < LISTED_AT_KILL) {
        Thread.sleep(20);
      }
      installation.record.line("listed: %d", installation.listed(BATCH));
      owner.signal("KILL");
      Thread.sleep(3_500);
      owner.start();
    }
    return readAll(installation, second, runs);
  }

  /** Reads the results until all are listed, and returns whether each item has one position. */
  private static boolean readAll(
      Installation installation, Nodes.Node node, Map<String, Integer> runs) throws Exception {
    Map<String, Integer> positions = new HashMap<>();
    long endMillis = System.currentTimeMillis() + READ_TIMEOUT_MILLIS;
    int position = 0;
    int total = GROUPS * ITEMS_PER_GROUP;
    int twice = 0;
    while (position < total && System.currentTimeMillis() < endMillis) {
      Installation.Page page;
      try {
        page = installation.results(node, BATCH, position, 1_000);
      } catch (java.io.IOException e) {
        installation.record.line("read failed: %s", e);
        Thread.sleep(500);
        continue;
      }
      for (JsonNode result : page.results()) {
        String item = result.path("id").asText();
        String state = result.path("state").asText();
        Integer before = positions.putIfAbsent(item, position);
        installation.record.line(
            "read: position %d item %s %s%s",
            position, item, state, before == null ? "" : " AGAIN, first at " + before);
        twice += before == null ? 0 : 1;
        position++;
      }
    }
    long rerun = runs.values().stream().filter(count -> count > 1).count();
    installation.record.line(
        "read %d positions of %d: %d items, %d of them at a second position; %d items ran again",
        position, total, positions.size(), twice, rerun);
    if (twice == 0 && positions.size() < total) {
      throw new CannotRunException("not all results were listed in time");
    }
    return twice == 0;
  }
}
