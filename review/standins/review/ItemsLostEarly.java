package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Submits batches to a node that stands still for a short time, and reads when items are given up.
 *
 * <p>The batches need more time than {@code maxWaitS} at the samplers that there are.
 */
final class ItemsLostEarly {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int BATCHES = 3;
  private static final int GROUPS = 16;
  private static final int ITEMS_PER_GROUP = 8;
  private static final int SLOTS = 4;
  private static final int EVENTS = 20;
  private static final int EVENT_BYTES = 320;
  private static final long EVENT_GAP_MILLIS = 200;
  private static final long FREEZE_MILLIS = 1_800;

  /** A caller abandons a request that a node has not read after one second. */
  private static final long SUBMIT_BEFORE_WAKE_MILLIS = 700;

  private static final long FREEZE_INTERVAL_MILLIS = 4_700;
  private static final double MAX_WAIT_SECONDS = 40;

  private ItemsLostEarly() {}

  public static void main(String[] arguments) throws Exception {
    Installation.main(arguments, ItemsLostEarly::run);
  }

  private static boolean run(Installation installation) throws Exception {
    String[] zones = {"lautoka", "nadi", "ba"};
    for (int i = 0; i < zones.length; i++) {
      installation.addSampler(
          "i-" + i,
          Installation.ROLLOUT_SERVICE,
          zones[i],
          SLOTS,
          (sampler, request, exchange) -> {
            String item = request.header("Briarward-Request-Id").orElseThrow();
            Sampler.streamEvents(request, exchange, item, EVENTS, EVENT_BYTES, EVENT_GAP_MILLIS);
          });
    }
    Nodes.Node frozen = installation.nodes.start("front-lautoka-1", zones[0]);
    Nodes.Node second = installation.nodes.start("front-nadi-1", zones[1]);
    Nodes.Node third = installation.nodes.start("front-ba-1", zones[2]);
    frozen.awaitReady();
    second.awaitReady();
    third.awaitReady();
    Thread.sleep(3_000); // No disruption for as long as stableMs.
    Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    for (int i = 0; i < BATCHES; i++) {
      String batch = "7c41e09b52d6a3f" + i;
      if (installation.trouble) {
        while (!installation.store.isFeedPending(frozen.name, "nodes")) {
          Thread.sleep(1); // The node waits for changes of this table about a third of the time.
        }
        frozen.signal("STOP");
      }
      Thread.sleep(FREEZE_MILLIS - SUBMIT_BEFORE_WAKE_MILLIS);
      byte[] submission = submission(i);
      sentNanos.put(batch, System.nanoTime());
      installation.record.line("batch %s is sent", batch);
      Thread submitting = new Thread(() -> submit(installation, frozen, batch, submission));
      submitting.start();
      Thread.sleep(SUBMIT_BEFORE_WAKE_MILLIS);
      if (installation.trouble) {
        frozen.signal("CONT");
      }
      submitting.join();
      Thread.sleep(FREEZE_INTERVAL_MILLIS - FREEZE_MILLIS);
    }
    return readUntilGivenUp(installation, second, sentNanos);
  }

  private static void submit(
      Installation installation, Nodes.Node node, String batch, byte[] submission) {
    try {
      installation.submit(node, batch, submission);
    } catch (IOException | CannotRunException e) {
      installation.record.line("batch %s: %s", batch, e);
    }
  }

  /** Returns a batch without a step, whose items have ids of their own. */
  private static byte[] submission(int number) throws IOException {
    ObjectNode submission =
        (ObjectNode) MAPPER.readTree(Installation.submission(GROUPS, ITEMS_PER_GROUP));
    submission.remove("step");
    submission.remove("targetCount");
    for (JsonNode item : (ArrayNode) submission.path("items")) {
      ((ObjectNode) item).put("id", number + item.path("id").asText().substring(1));
    }
    return submission.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
  }

  /** Reads all batches until each has a lost item or is past its time. */
  private static boolean readUntilGivenUp(
      Installation installation, Nodes.Node node, Map<String, Long> sentNanos) throws Exception {
    Map<String, Double> lostAfterSeconds = new HashMap<>();
    Map<String, Integer> positions = new HashMap<>();
    boolean open = true;
    while (open) {
      open = false;
      for (Map.Entry<String, Long> sent : sentNanos.entrySet()) {
        String batch = sent.getKey();
        double ageSeconds = (System.nanoTime() - sent.getValue()) / 1e9;
        if (lostAfterSeconds.containsKey(batch) || ageSeconds > MAX_WAIT_SECONDS + 2) {
          continue;
        }
        open = true;
        int position = positions.getOrDefault(batch, 0);
        try {
          Installation.Page page = installation.results(node, batch, position, 0);
          positions.put(batch, page.next());
          for (JsonNode result : page.results()) {
            if (result.path("state").asText().equals("lost")) {
              double seconds = (System.nanoTime() - sent.getValue()) / 1e9;
              if (lostAfterSeconds.putIfAbsent(batch, seconds) == null) {
                installation.record.line(
                    "batch %s: item %s lost %.3f s after the batch was sent",
                    batch, result.path("id").asText(), seconds);
              }
            }
          }
        } catch (IOException e) {
          installation.record.line("read failed: %s", e);
        }
      }
      Thread.sleep(50);
    }
    long early =
        lostAfterSeconds.values().stream().filter(seconds -> seconds < MAX_WAIT_SECONDS).count();
    installation.record.line(
        "%d of %d batches had a lost item before %.1f s",
        early, sentNanos.size(), MAX_WAIT_SECONDS);
    if (lostAfterSeconds.isEmpty()) {
      throw new CannotRunException("no item was given up");
    }
    return early == 0;
  }
}
