package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small installation on loopback: the store, samplers, nodes, and calls of a tenant. */
final class Installation implements AutoCloseable {
  static final String HOST = "ficu95.example";
  static final String KEY = "3d3zji9n73hh2b9wu3fe";
  static final String ROLLOUT_PREFIX = "/pufi791/";
  static final String LOOKUP_PREFIX = "/lohu930/";
  static final String ROLLOUT_SERVICE = "huvo11a";
  static final String LOOKUP_SERVICE = "wuno96b";
  private static final long TIME_LIMIT_MILLIS = 110_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  final Record record;
  final Store store;
  final Nodes nodes;
  final boolean trouble;
  private final Path directory;
  private final List<AutoCloseable> samplers = new ArrayList<>();

  private Installation(Path root, Record record, boolean trouble) throws IOException {
    this.record = record;
    this.trouble = trouble;
    this.directory = Files.createTempDirectory("review-");
    this.store = new Store(record);
    this.nodes = new Nodes(root, directory, store, record);
    store.put("op", "config", configuration());
  }

  /** A case: returns whether the rule held. */
  interface Case {
    boolean run(Installation installation) throws Exception;
  }

  /**
   * Runs a case and exits with 0 if the rule held, 1 if it was broken and 2 if the case could not
   * run.
   *
   * @param arguments the repository root, the folder of the case, and 0 to run it without the
   *     disruption
   */
  static void main(String[] arguments, Case each) throws Exception {
    LoopbackServer.startThread(Installation::exitAfterTimeLimit);
    boolean trouble = !arguments[2].equals("0");
    int exitCode;
    try (Record record = new Record(Path.of(arguments[1]).resolve("record.txt"))) {
      record.line("disruption: %s", trouble ? "yes" : "no");
      try (Installation installation = new Installation(Path.of(arguments[0]), record, trouble)) {
        exitCode = each.run(installation) ? 0 : 1;
      } catch (Exception e) {
        record.line("cannot run: %s", e);
        e.printStackTrace();
        exitCode = 2;
      }
      record.line("exit code %d", exitCode);
    }
    // Threads of the stand-ins may still be running.
    System.exit(exitCode);
  }

  private static void exitAfterTimeLimit() {
    Sampler.sleep(TIME_LIMIT_MILLIS);
    System.err.println("the case did not end in " + TIME_LIMIT_MILLIS + " ms");
    System.exit(2);
  }

  Sampler addSampler(String id, String service, String zone, int slots, Sampler.Work work)
      throws IOException {
    Sampler sampler = new Sampler(store, record, id, service, zone, slots, work);
    samplers.add(sampler);
    return sampler;
  }

  /** Returns a configuration like that of vtw-mill, with its figures. */
  private static ObjectNode configuration() {
    ObjectNode configuration = JSON.objectNode().put("version", 7);
    ArrayNode routes = configuration.putArray("routes");
    routes
        .addObject()
        .put("name", "r-a9rgy35")
        .put("host", HOST)
        .put("prefix", ROLLOUT_PREFIX)
        .put("kind", "rollout")
        .put("timeoutMs", 10_000)
        .put("goalMs", 500)
        .put("priority", 0)
        .put("service", ROLLOUT_SERVICE)
        .put("attempts", 3)
        .put("maxWaitS", 40.0)
        .put("dueMs", 7_500)
        .put("singleVersion", false)
        .put("noAuth", false)
        .put("sticky", true)
        .put("resumable", true);
    routes
        .addObject()
        .put("name", "r-qrh4jcd")
        .put("host", HOST)
        .put("prefix", LOOKUP_PREFIX)
        .put("kind", "safe")
        .put("timeoutMs", 1_500)
        .put("goalMs", 185)
        .put("priority", 2)
        .put("service", LOOKUP_SERVICE)
        .put("attempts", 2)
        .put("noAuth", false);
    ArrayNode services = configuration.putArray("services");
    ObjectNode engine =
        JSON.objectNode().put("slots", 12).put("kvCapacity", 38_259).put("tokenKvBytes", 35_136);
    engine.putArray("models").addObject().put("name", Sampler.MODEL);
    services
        .addObject()
        .put("name", ROLLOUT_SERVICE)
        .put("healthPath", "/healthz")
        .put("maxConns", 160)
        .put("protocol", "h1")
        .put("tls", false)
        .set("engine", engine);
    services
        .addObject()
        .put("name", LOOKUP_SERVICE)
        .put("healthPath", "/healthz")
        .put("maxConns", 110)
        .put("protocol", "h1")
        .put("tls", false);
    configuration
        .putObject("limits")
        .put("headerBytes", 16_384)
        .put("bodyBytes", 33_554_432)
        .put("headerTimeoutMs", 3_000)
        .put("idleTimeoutMs", 15_000);
    configuration
        .putArray("tenants")
        .addObject()
        .put("name", "nowu640")
        .put("priority", 1)
        .putArray("apiKeys")
        .add(KEY);
    return configuration;
  }

  static String headers(String requestId, long deadlineMillis) {
    return "Api-Key: "
        + KEY
        + "\r\nBriarward-Request-Id: "
        + requestId
        + "\r\nBriarward-Deadline-Ms: "
        + deadlineMillis
        + "\r\n";
  }

  /** Returns a submission of groups of items of about equal length. */
  static byte[] submission(int groups, int itemsPerGroup) {
    ObjectNode submission =
        JSON.objectNode()
            .put("step", 0)
            .put("model", Sampler.MODEL)
            .put("minVersion", 1)
            .put("targetCount", groups);
    ArrayNode items = submission.putArray("items");
    for (int group = 0; group < groups; group++) {
      for (int i = 0; i < itemsPerGroup; i++) {
        ObjectNode item =
            items
                .addObject()
                .put("id", itemId(group, i))
                .put("path", ROLLOUT_PREFIX + group + "/" + i)
                .put("body", Base64.getEncoder().encodeToString(new byte[600]))
                .put("tokenCount", 700)
                .put("group", "g" + group);
        item.putObject("headers")
            .put("Briarward-Model", Sampler.MODEL)
            .put("Briarward-Token-Count", "271,400")
            .put("Briarward-Prompt-Prefix", "9c2e" + group + ":255,5d07" + group + i + ":16");
      }
    }
    return submission.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static String itemId(int group, int item) {
    return String.format("e5b2907c%04x%04x", group, item);
  }

  /** Submits a batch and fails unless it is accepted. */
  void submit(Nodes.Node node, String batchId, byte[] submission) throws IOException {
    HttpIo.Message answer =
        new Caller(node.callerPort)
            .send(
                "POST " + ROLLOUT_PREFIX + "7c41e0",
                HOST,
                headers(batchId, 12_000) + "Content-Type: application/json\r\n",
                submission);
    record.line("batch %s submitted to %s: %d", batchId, node.name, answer.status());
    if (answer.status() != 202) {
      throw new CannotRunException("the batch was not accepted: " + answer.startLine());
    }
  }

  /** The total of a batch and the results from a position on. */
  record Page(int total, int next, JsonNode results) {}

  /** Reads one page of results. */
  Page results(Nodes.Node node, String batchId, int after, long waitMillis) throws IOException {
    HttpIo.Message answer =
        new Caller(node.callerPort)
            .send(
                "GET /briarward/lots/" + batchId + "?after=" + after,
                HOST,
                "Api-Key: " + KEY + "\r\nBriarward-Wait-Ms: " + waitMillis + "\r\n",
                new byte[0]);
    if (answer.status() != 200) {
      throw new IOException("results answered with " + answer.startLine());
    }
    JsonNode body = MAPPER.readTree(answer.body());
    return new Page(body.path("total").asInt(), body.path("next").asInt(), body.path("results"));
  }

  /** Returns the number of results that a batch lists, as the store has it. */
  int listed(String batchId) {
    JsonNode head = store.values("batch-heads").get(batchId);
    return head == null ? 0 : head.path("listed").asInt();
  }

  @Override
  public void close() throws Exception {
    nodes.close();
    for (AutoCloseable sampler : samplers) {
      sampler.close();
    }
    store.close();
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println("logs in " + directory);
      return;
    }
    try (Stream<Path> files = Files.walk(directory)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
