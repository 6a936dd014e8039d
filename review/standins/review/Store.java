package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's metadata store and its API for usage reports, as PROTOCOL.md describes them.
 *
 * <p>A read returns at most 500 rows or 1 MB, a transaction holds at most 100 entries and 1 MB.
 */
final class Store implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
  private static final int MAX_ROWS = 500;
  private static final int MAX_BYTES = 1_000_000;
  private static final int MAX_ENTRIES = 100;
  private static final long ANSWER_MILLIS = 4;
  private static final long TRANSACTION_MILLIS = 5;
  private static final long OBJECT_MILLIS = 25;

  private final LoopbackServer server;
  private final Map<String, LoopbackServer> serverByCaller = new HashMap<>();
  private final Set<String> pendingFeeds = ConcurrentHashMap.newKeySet();
  private final Record record;
  private final long startNanos = System.nanoTime();
  private final TreeMap<String, ObjectNode> rows = new TreeMap<>();
  private final TreeMap<String, Tombstone> deleted = new TreeMap<>();
  private final Map<String, byte[]> objects = new HashMap<>();
  private long version = 1;

  private record Tombstone(String table, String part, String key, long version) {}

  Store(Record record) throws IOException {
    this.record = record;
    this.server = LoopbackServer.start((request, exchange) -> handle("", request, exchange));
  }

  String address() {
    return server.address();
  }

  /** Returns an address of this store for one caller, so that its calls can be told apart. */
  synchronized String addressFor(String caller) throws IOException {
    if (!serverByCaller.containsKey(caller)) {
      serverByCaller.put(
          caller, LoopbackServer.start((request, exchange) -> handle(caller, request, exchange)));
    }
    return serverByCaller.get(caller).address();
  }

  /** Returns whether a caller waits for changes of a table. */
  boolean isFeedPending(String caller, String table) {
    return pendingFeeds.contains(caller + "/" + table);
  }

  /** Returns the time of the store's steady clock, in milliseconds. */
  long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes a row as the operator, a trainer or a sampler does. */
  synchronized void put(String table, String key, JsonNode value) {
    version++;
    putRow(
        table,
        "",
        key,
        Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8)));
    notifyAll();
  }

  synchronized void delete(String table, String key) {
    version++;
    deleteRow(table, "", key);
    notifyAll();
  }

  /** Returns the decoded values of all rows of a table, by key. */
  synchronized Map<String, JsonNode> values(String table) {
    Map<String, JsonNode> values = new TreeMap<>();
    for (ObjectNode row : rows.values()) {
      if (row.path("table").asText().equals(table)) {
        try {
          values.put(
              row.path("key").asText(),
              MAPPER.readTree(Base64.getDecoder().decode(row.path("value").asText())));
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      }
    }
    return values;
  }

  private void handle(String caller, HttpIo.Message request, LoopbackServer.Exchange exchange)
      throws Exception {
    String path = request.path();
    switch (path) {
      case "/briarward/rows-tx" -> {
        Thread.sleep(TRANSACTION_MILLIS);
        respond(exchange, commit(MAPPER.readTree(request.body()), request.body().length));
      }
      case "/briarward/rows-get" -> {
        Thread.sleep(ANSWER_MILLIS);
        respond(exchange, read(request));
      }
      case "/briarward/rows-feed" -> {
        String pending = caller + "/" + request.parameter("table").orElse("");
        pendingFeeds.add(pending);
        Answer answer = feed(request);
        pendingFeeds.remove(pending);
        respond(exchange, answer);
      }
      case "/usage", "/scale" -> {
        record.line("platform: %s %s", path, request.text());
        respond(exchange, new Answer(200, JSON.objectNode()));
      }
      default -> handleObject(request, exchange);
    }
  }

  private record Answer(int status, ObjectNode body) {}

  private synchronized void stamp(ObjectNode body) {
    body.put("ver", version).put("nowMs", nowMillis());
  }

  private void respond(LoopbackServer.Exchange exchange, Answer answer) throws IOException {
    exchange.respond(
        answer.status(),
        Map.of("Content-Type", "application/json"),
        answer.body().toString().getBytes(StandardCharsets.UTF_8));
  }

  private synchronized Answer commit(JsonNode body, int bytes) {
    int entries =
        body.path("expectRev").size() + body.path("puts").size() + body.path("delete").size();
    if (entries > MAX_ENTRIES || bytes > MAX_BYTES) {
      record.line("store: transaction with %d entries and %d bytes rejected", entries, bytes);
      return new Answer(400, JSON.objectNode());
    }
    ArrayNode current = JSON.arrayNode();
    boolean holds = true;
    for (JsonNode condition : body.path("expectRev")) {
      ObjectNode row = rows.get(address(condition));
      holds &= (row == null ? 0 : row.path("ver").asLong()) == condition.path("ver").asLong();
      if (row != null) {
        current.add(row);
      }
    }
    ObjectNode answer = JSON.objectNode();
    if (!holds) {
      answer.set("rows", current);
      stamp(answer);
      return new Answer(412, answer);
    }
    version++;
    for (JsonNode put : body.path("puts")) {
      putRow(
          put.path("table").asText(),
          put.path("part").asText(),
          put.path("key").asText(),
          put.path("value").asText());
    }
    for (JsonNode row : body.path("delete")) {
      deleteRow(row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
    }
    notifyAll();
    stamp(answer);
    return new Answer(200, answer);
  }

  private void putRow(String table, String part, String key, String value) {
    ObjectNode row =
        JSON.objectNode()
            .put("table", table)
            .put("part", part)
            .put("key", key)
            .put("value", value)
            .put("ver", version);
    rows.put(address(row), row);
    deleted.remove(address(row));
  }

  private void deleteRow(String table, String part, String key) {
    String address = address(table, part, key);
    if (rows.remove(address) != null) {
      deleted.put(address, new Tombstone(table, part, key, version));
    }
  }

  private synchronized Answer read(HttpIo.Message request) {
    String prefix =
        request.parameter("table").orElse("") + "\u0001" + request.parameter("part").orElse("");
    String from = request.parameter("from").orElse("");
    Optional<String> to = request.parameter("to");
    int limit = Math.min(MAX_ROWS, request.parameter("limit").map(Integer::parseInt).orElse(500));
    ArrayNode found = JSON.arrayNode();
    int bytes = 0;
    boolean more = false;
    for (ObjectNode row : rows.tailMap(prefix + "\u0001" + from).values()) {
      if (!address(row).startsWith(prefix + "\u0001")
          || to.filter(end -> row.path("key").asText().compareTo(end) >= 0).isPresent()) {
        break;
      }
      bytes += row.toString().length();
      if (found.size() == limit || (bytes > MAX_BYTES && found.size() > 0)) {
        more = true;
        break;
      }
      found.add(row);
    }
    ObjectNode answer = JSON.objectNode().put("hasMore", more);
    answer.set("rows", found);
    stamp(answer);
    if (more && limit > 1) {
      record.line(
          "store: read of %s from '%s' with limit %d returned %d rows and hasMore",
          request.parameter("table").orElse(""), from, limit, found.size());
    }
    return new Answer(200, answer);
  }

  private Answer feed(HttpIo.Message request) throws InterruptedException {
    String table = request.parameter("table").orElse("");
    long after = Long.parseLong(request.parameter("after").orElse("0"));
    long endMillis = nowMillis() + request.parameter("waitMs").map(Long::parseLong).orElse(0L);
    Thread.sleep(ANSWER_MILLIS);
    synchronized (this) {
      List<ObjectNode> changed = changes(table, after);
      while (changed.isEmpty() && nowMillis() < endMillis) {
        wait(Math.max(1, endMillis - nowMillis()));
        changed = changes(table, after);
      }
      ObjectNode answer = JSON.objectNode();
      answer.set("rows", JSON.arrayNode().addAll(changed));
      stamp(answer);
      return new Answer(200, answer);
    }
  }

  private List<ObjectNode> changes(String table, long after) {
    List<ObjectNode> changed = new ArrayList<>();
    for (ObjectNode row : rows.tailMap(table + "\u0001").values()) {
      if (!row.path("table").asText().equals(table)) {
        break;
      }
      if (row.path("ver").asLong() > after) {
        changed.add(row);
      }
    }
    for (Tombstone row : deleted.values()) {
      if (row.table().equals(table) && row.version() > after) {
        changed.add(
            JSON.objectNode()
                .put("table", row.table())
                .put("part", row.part())
                .put("key", row.key())
                .put("ver", row.version())
                .put("deleted", true));
      }
    }
    changed.sort(Comparator.comparingLong(row -> row.path("ver").asLong()));
    return changed;
  }

  private void handleObject(HttpIo.Message request, LoopbackServer.Exchange exchange)
      throws Exception {
    Thread.sleep(OBJECT_MILLIS);
    String[] parts = request.path().split("/", 4);
    String name = parts.length == 4 ? parts[3] : "";
    int status = 200;
    byte[] answer = new byte[0];
    synchronized (this) {
      switch (parts.length > 2 ? parts[2] : "") {
        case "blob-put" -> {
          boolean absent = !objects.containsKey(name);
          if (absent || request.header("If-None-Match").isEmpty()) {
            objects.put(name, request.body());
          } else {
            status = 412;
          }
        }
        case "blob-get" -> {
          status = objects.containsKey(name) ? 200 : 404;
          answer = objects.getOrDefault(name, answer);
        }
        case "blob-drop" -> objects.remove(name);
        default -> status = 404;
      }
    }
    exchange.respond(status, Map.of(), answer);
  }

  private static String address(JsonNode row) {
    return address(row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
  }

  private static String address(String table, String part, String key) {
    return table + "\u0001" + part + "\u0001" + key;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (LoopbackServer each : serverByCaller.values()) {
      each.close();
    }
  }
}
