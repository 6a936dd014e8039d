package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store and its API for reports, as PROTOCOL.md describes them. */
final class Store {
  private static final long TX_MILLIS = 5;
  private static final long BLOB_MILLIS = 25;
  private static final int PAGE_ROWS = 500;
  private static final int PAGE_BYTES = 1_000_000;

  private record Row(String table, String part, String key, String value, long ver, boolean gone) {
    String json() {
      return "{\"table\":" + Json.quote(table) + ",\"part\":" + Json.quote(part) + ",\"key\":"
          + Json.quote(key) + (gone ? ",\"deleted\":true" : ",\"value\":\"" + value + "\"")
          + ",\"ver\":" + ver + "}";
    }
  }

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> changes = new ArrayList<>();
  private final Map<String, byte[]> blobs = new HashMap<>();
  private final long startNanos = System.nanoTime();
  private final HttpServer server;
  private long ver = 1;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(Executors.newCachedThreadPool(Kit::daemon));
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static String id(String table, String part, String key) {
    return table + "\0" + part + "\0" + key;
  }

  /** Writes a row as the operator or a sampler does. */
  synchronized void put(String table, String key, String json) {
    ver++;
    put(table, "", key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
  }

  synchronized void delete(String table, String key) {
    if (rows.containsKey(id(table, "", key))) {
      ver++;
      drop(table, "", key);
      notifyAll();
    }
  }

  /** Returns the decoded values of a table by key. */
  synchronized Map<String, String> values(String table) {
    Map<String, String> values = new TreeMap<>();
    for (Row row : rows.values()) {
      if (row.table.equals(table)) {
        values.put(
            row.key, new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private void put(String table, String part, String key, String value) {
    Row row = new Row(table, part, key, value, ver, false);
    rows.put(id(table, part, key), row);
    changes.add(row);
  }

  private void drop(String table, String part, String key) {
    if (rows.remove(id(table, part, key)) != null) {
      changes.add(new Row(table, part, key, "", ver, true));
    }
  }

  private void handle(HttpExchange call) {
    try {
      byte[] body = call.getRequestBody().readAllBytes();
      String path = call.getRequestURI().getPath();
      Map<String, String> query = query(call.getRequestURI().getRawQuery());
      if (path.equals("/briarward/rows-tx")) {
        Thread.sleep(TX_MILLIS);
        commit(call, new String(body, StandardCharsets.UTF_8));
      } else if (path.equals("/briarward/rows-get")) {
        Thread.sleep(4);
        read(call, query);
      } else if (path.equals("/briarward/rows-feed")) {
        feed(call, query);
      } else if (path.startsWith("/briarward/blob-")) {
        Thread.sleep(BLOB_MILLIS + body.length / 80_000);
        blob(call, path, body);
      } else {
        answer(call, 200, "{}");
      }
    } catch (IOException | InterruptedException e) {
      // The caller has gone.
    } catch (RuntimeException e) {
      e.printStackTrace();
    } finally {
      call.close();
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private void commit(HttpExchange call, String text) throws IOException {
    Map<String, Object> body = Json.object(text);
    int status = 200;
    String answer;
    synchronized (this) {
      StringBuilder present = new StringBuilder();
      boolean holds = true;
      for (Map<String, Object> each : Json.objects(body.get("expectRev"))) {
        Row row = rows.get(address(each));
        holds &= (row == null ? 0 : row.ver) == (Long) each.get("ver");
        if (row != null) {
          present.append(present.length() > 0 ? "," : "").append(row.json());
        }
      }
      if (holds) {
        ver++;
        for (Map<String, Object> each : Json.objects(body.get("puts"))) {
          put(text(each, "table"), text(each, "part"), text(each, "key"), text(each, "value"));
        }
        for (Map<String, Object> each : Json.objects(body.get("delete"))) {
          drop(text(each, "table"), text(each, "part"), text(each, "key"));
        }
        notifyAll();
        answer = "{" + tail();
      } else {
        status = 412;
        answer = "{\"rows\":[" + present + "]," + tail();
      }
    }
    answer(call, status, answer);
  }

  private static String address(Map<String, Object> each) {
    return id(text(each, "table"), text(each, "part"), text(each, "key"));
  }

  private static String text(Map<String, Object> each, String field) {
    Object value = each.get(field);
    return value == null ? "" : value.toString();
  }

  private void read(HttpExchange call, Map<String, String> query) throws IOException {
    String answer;
    synchronized (this) {
      String to = query.get("to");
      int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
      StringBuilder found = new StringBuilder();
      int count = 0;
      boolean more = false;
      String prefix = query.get("table") + "\0" + query.getOrDefault("part", "") + "\0";
      for (Map.Entry<String, Row> each :
          rows.tailMap(prefix + query.getOrDefault("from", "")).entrySet()) {
        if (!each.getKey().startsWith(prefix)
            || (to != null && each.getValue().key.compareTo(to) >= 0)) {
          break;
        }
        if (count == limit || (count > 0 && found.length() > PAGE_BYTES)) {
          more = true;
          break;
        }
        found.append(count++ > 0 ? "," : "").append(each.getValue().json());
      }
      answer = "{\"rows\":[" + found + "],\"hasMore\":" + more + "," + tail();
    }
    answer(call, 200, answer);
  }

  private void feed(HttpExchange call, Map<String, String> query)
      throws IOException, InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long until = millis() + Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
    String answer;
    synchronized (this) {
      String found = changed(query.get("table"), after);
      while (found.isEmpty() && millis() < until) {
        wait(Math.max(1, until - millis()));
        found = changed(query.get("table"), after);
      }
      answer = "{\"rows\":[" + found + "]," + tail();
    }
    Thread.sleep(4);
    answer(call, 200, answer);
  }

  private String changed(String table, long after) {
    StringBuilder found = new StringBuilder();
    int from = changes.size();
    while (from > 0 && changes.get(from - 1).ver > after) {
      from--;
    }
    for (Row row : changes.subList(from, changes.size())) {
      if (row.table.equals(table)) {
        found.append(found.length() > 0 ? "," : "").append(row.json());
      }
    }
    return found.toString();
  }

  private void blob(HttpExchange call, String path, byte[] body) throws IOException {
    String name = path.substring(path.lastIndexOf('/') + 1);
    if (path.startsWith("/briarward/blob-put/")) {
      boolean exists;
      synchronized (this) {
        exists = blobs.containsKey(name);
        blobs.putIfAbsent(name, body);
      }
      answer(call, exists ? 412 : 200, "{}");
    } else if (path.startsWith("/briarward/blob-get/")) {
      byte[] found;
      synchronized (this) {
        found = blobs.get(name);
      }
      if (found == null) {
        answer(call, 404, "{}");
      } else {
        call.sendResponseHeaders(200, found.length == 0 ? -1 : found.length);
        call.getResponseBody().write(found);
      }
    } else {
      synchronized (this) {
        blobs.remove(name);
      }
      answer(call, 200, "{}");
    }
  }

  private String tail() {
    return "\"ver\":" + ver + ",\"nowMs\":" + millis() + "}";
  }

  private long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private static void answer(HttpExchange call, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    call.getResponseHeaders().set("Content-Type", "application/json");
    call.sendResponseHeaders(status, bytes.length);
    call.getResponseBody().write(bytes);
  }
}
