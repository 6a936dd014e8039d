package review;

import java.nio.charset.StandardCharsets;

/** Runs a batch while two of six samplers send bytes without end in the bodies of their answers. */
final class EndlessItems {
  private static final String BATCH = "7c41e09b52d6a3f8";
  private static final int SAMPLERS = 6;
  private static final int FAULTY = 2;
  private static final int SLOTS = 12;
  private static final int GROUPS = 16;
  private static final int ITEMS_PER_GROUP = 8;
  private static final int EVENTS = 22;
  private static final int EVENT_BYTES = 320;
  private static final long EVENT_GAP_MILLIS = 40;
  private static final long TROUBLE_MILLIS = 5_500;
  private static final int LOOKUPS_BEFORE = 10;
  private static final int LOOKUPS_AFTER = 70;

  private static volatile boolean inTrouble;

  private EndlessItems() {}

  public static void main(String[] arguments) throws Exception {
    Installation.main(arguments, EndlessItems::run);
  }

  private static boolean run(Installation installation) throws Exception {
    String[] zones = {"lautoka", "nadi", "ba"};
    Lookups.addSamplers(installation, zones);
    for (int i = 0; i < SAMPLERS; i++) {
      boolean faulty = i < FAULTY;
      installation.addSampler(
          "i-" + i,
          Installation.ROLLOUT_SERVICE,
          zones[i % zones.length],
          SLOTS,
          (sampler, request, exchange) -> {
            String item = request.header("Briarward-Request-Id").orElseThrow();
            if (faulty && inTrouble) {
              installation.record.line("run: item %s at %s, no end", item, sampler.id());
              sendWithoutEnd(request, exchange);
            } else {
              Sampler.streamEvents(request, exchange, item, EVENTS, EVENT_BYTES, EVENT_GAP_MILLIS);
            }
          });
    }
    Nodes.Node owner = installation.nodes.start("front-lautoka-1", zones[0]);
    Nodes.Node second = installation.nodes.start("front-nadi-1", zones[1]);
    Nodes.Node third = installation.nodes.start("front-ba-1", zones[2]);
    owner.awaitReady();
    second.awaitReady();
    third.awaitReady();
    Thread.sleep(3_000); // No disruption for as long as stableMs.
    Lookups lookups = new Lookups(installation, owner);
    lookups.send("before", LOOKUPS_BEFORE);
    inTrouble = installation.trouble;
    LoopbackServer.startThread(
        () -> {
          Sampler.sleep(TROUBLE_MILLIS);
          inTrouble = false;
          installation.record.line("the samplers are well again");
        });
    installation.submit(owner, BATCH, Installation.submission(GROUPS, ITEMS_PER_GROUP));
    lookups.send("after", LOOKUPS_AFTER);
    boolean inTime = lookups.answeredInTime();
    installation.record.line(
        "the batch lists %d of %d results", installation.listed(BATCH), GROUPS * ITEMS_PER_GROUP);
    return inTime;
  }

  /** Sends lines that never complete an event, until the trouble ends or the caller closes. */
  private static void sendWithoutEnd(HttpIo.Message request, LoopbackServer.Exchange exchange)
      throws Exception {
    exchange.out().write(HttpIo.head("HTTP/1.1 200 OK", Sampler.answerHeaders(request, "seal")));
    byte[] chunk = "data:x\n".repeat(1_000).getBytes(StandardCharsets.UTF_8);
    while (inTrouble) {
      exchange.out().write(chunk);
    }
    exchange.socket().close();
  }
}
