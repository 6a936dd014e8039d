package review3;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Submits one batch submission, reads its results twice a second, and ends it once enough groups
 * are complete or its time is over. Each call that fails is sent again, at the next node.
 */
final class Trainer {
  static final String CONFIG =
      """
      {"version":1,"routes":[{"name":"r","host":"h.example","prefix":"/b/","kind":"rollout",
       "timeoutMs":10000,"goalMs":400,"priority":0,"service":"llm","attempts":3,"maxWaitS":40.0,
       "dueMs":7500,"singleVersion":false,"noAuth":false,"sticky":true,"resumable":true},
       {"name":"q","host":"h.example","prefix":"/p/","kind":"safe","timeoutMs":1500,"goalMs":150,
       "priority":2,"service":"portal","attempts":2,"noAuth":false}],
       "services":[{"name":"llm","healthPath":"/healthz","maxConns":150,"protocol":"h1",
       "tls":false,"engine":{"slots":12,"kvCapacity":72560,"models":[{"name":"m"}]}},
       {"name":"portal","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
       "limits":{"headerBytes":16384,"bodyBytes":33554432,"headerTimeoutMs":3000,
       "idleTimeoutMs":15000},
       "tenants":[{"name":"t1","apiKeys":["k1"],"priority":1},
       {"name":"t2","apiKeys":["k2"],"priority":1}]}
      """;

  static final long DEADLINE_MILLIS = 12_000;
  private static final int MAX_GROUP_SIZE = 4;
  private static final long RETRY_MILLIS = 200;

  final String id;
  final Map<String, Integer> eventsByItem = new LinkedHashMap<>();
  final Map<String, String> outputByItem = new TreeMap<>();
  String key = "k1";
  long deadlineMillis = DEADLINE_MILLIS;
  volatile long acceptedAt = -1;
  volatile long submittedAt = -1;
  volatile boolean complete;
  volatile boolean timedOut;
  private final byte[] submission;
  private final int groupSize;
  private final int wantedGroups;
  private final int bodyChars;
  private final List<Kit.Node> nodes;
  private final Record record;

  /**
   * @param events the number of events of each item
   * @param bodyChars the size of the body of each item in Base64
   */
  Trainer(String id, List<Integer> events, int bodyChars, List<Kit.Node> nodes, Record record) {
    this.id = id;
    this.bodyChars = bodyChars;
    this.nodes = nodes;
    this.record = record;
    for (int i = 0; i < events.size(); i++) {
      eventsByItem.put(id + "i" + i, events.get(i));
    }
    this.groupSize = Math.min(MAX_GROUP_SIZE, events.size());
    this.wantedGroups = Math.max(1, events.size() / groupSize * 9 / 10);
    this.submission = submission();
  }

  static String head(String method, String path, String id) {
    return head(method, path, id, "k1");
  }

  static String head(String method, String path, String id, String key) {
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nApi-Key: " + key + "\r\n"
        + "Briarward-Request-Id: " + id + "\r\n";
  }

  private byte[] submission() {
    StringBuilder text =
        new StringBuilder("{\"step\":1,\"model\":\"m\",\"minVersion\":1,\"targetCount\":"
            + wantedGroups + ",\"items\":[");
    String body = "QUJD".repeat(bodyChars / 4);
    int item = 0;
    for (Map.Entry<String, Integer> each : eventsByItem.entrySet()) {
      int events = each.getValue();
      text.append(item > 0 ? "," : "")
          .append("{\"id\":\"").append(each.getKey())
          .append("\",\"path\":\"/b/1/").append(item)
          .append("\",\"headers\":{\"Briarward-Model\":\"m\",\"Briarward-Token-Count\":\"20,")
          .append(events).append("\",\"Briarward-Length-Hint\":\"").append(events)
          .append("\",\"Briarward-Prompt-Prefix\":\"9c:10,").append(Integer.toHexString(item))
          .append(":10\"},\"body\":\"").append(body)
          .append("\",\"tokenCount\":").append(20 + events)
          .append(",\"group\":\"").append(id).append('g').append(item / groupSize).append("\"}");
      item++;
    }
    return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Submits at the given node, and at the next ones after each failure. */
  boolean submit(int first) {
    byte[] body = submission;
    submittedAt = record.millis();
    for (int attempt = 0; record.millis() < submittedAt + deadlineMillis; attempt++) {
      Kit.Node node = nodes.get((first + attempt) % nodes.size());
      Kit.Answer answer =
          Kit.call(node, head("POST", "/b/1", id, key) + "Content-Type: application/json\r\n",
              body, 8_000);
      record.line("submit " + id + " (" + body.length + " bytes) at " + node.name + ": "
          + answer.status());
      if (answer.status() == 202) {
        acceptedAt = record.millis();
        return true;
      }
      long leftMillis = submittedAt + deadlineMillis - record.millis();
      Kit.sleep(Math.max(RETRY_MILLIS, Math.min(answer.retryAfterMillis(), leftMillis / 3)));
    }
    return false;
  }

  /** Reads results until enough groups are complete, or until the deadline; ends the batch. */
  void follow(int first) {
    long untilMillis = submittedAt + deadlineMillis;
    int after = 0;
    int at = first;
    while (record.millis() < untilMillis && !complete) {
      Kit.Node node = nodes.get(at % nodes.size());
      Kit.Answer answer =
          Kit.call(node, head("GET", "/briarward/lots/" + id + "?after=" + after, id + "r", key),
              new byte[0], 3_000);
      if (answer.status() == 200) {
        Map<String, Object> page = Json.object(answer.text());
        for (Map<String, Object> result : Json.objects(page.get("results"))) {
          outputByItem.put((String) result.get("id"),
              result.get("state") + ":" + result.get("output"));
        }
        after = (int) (long) (Long) page.get("next");
      } else {
        record.line("read " + id + " at " + node.name + ": " + answer.status());
        at++;
      }
      complete = completeGroups() >= wantedGroups;
      Kit.sleep(complete ? 0 : 500);
    }
    timedOut = !complete;
    record.line((complete ? "step complete " : "step out of time ") + id + " read "
        + outputByItem.size() + " of " + eventsByItem.size());
  }

  void end(int first) {
    Kit.Answer answer =
        Kit.call(nodes.get(first % nodes.size()), head("DELETE", "/briarward/lots/" + id, id + "e", key),
            new byte[0], 3_000);
    record.line("end " + id + ": " + answer.status());
  }

  private int completeGroups() {
    int complete = 0;
    int groups = eventsByItem.size() / groupSize;
    Set<String> read = new HashSet<>(outputByItem.keySet());
    for (int group = 0; group < groups; group++) {
      boolean whole = true;
      for (int i = 0; i < groupSize; i++) {
        whole &= read.contains(id + "i" + (group * groupSize + i));
      }
      complete += whole ? 1 : 0;
    }
    return complete;
  }
}
