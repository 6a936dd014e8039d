package io.briarward.standins.table;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import io.briarward.standins.http.Answer;
import io.briarward.standins.http.Call;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Options;
import io.briarward.standins.http.RateLimit;
import io.briarward.standins.http.StandIn;
import io.briarward.standins.http.Timer;

/** Serves tables with transactions and separate limits on reads and writes. */
public final class TableStandIn implements StandIn {
  private static final double WRITES_PER_SECOND = 500;
  private static final double READS_PER_SECOND = 2_000;
  private static final long RETRY_AFTER_SECONDS = 1;
  private static final int MAX_ROWS = 1_000;

  private final Timer timer;
  private final Faults faults;
  private final double writesPerSecond;
  private final double readsPerSecond;
  private final RateLimit writeLimit;
  private final RateLimit readLimit;
  private final TableState tables = TableState.create();
  private long reads;
  private long commits;
  private long conflicts;
  private long refusals;

  private TableStandIn(Timer timer, Faults faults, double writesPerSecond, double readsPerSecond) {
    this.timer = timer;
    this.faults = faults;
    this.writesPerSecond = writesPerSecond;
    this.readsPerSecond = readsPerSecond;
    this.writeLimit = RateLimit.create(writesPerSecond, timer.nowMillis());
    this.readLimit = RateLimit.create(readsPerSecond, timer.nowMillis());
  }

  /** Returns the faults of this stand-in, switched off. */
  public static Faults faults(long seed) {
    return Faults.of(seed, Fault.RATE_LIMIT_PER_SECOND);
  }

  /** Returns a stand-in without rows; options {@code writesPerSecond}, {@code readsPerSecond}. */
  public static TableStandIn create(Timer timer, Faults faults, Options options) {
    return new TableStandIn(
        timer,
        faults,
        options.decimal("writesPerSecond", WRITES_PER_SECOND),
        options.decimal("readsPerSecond", READS_PER_SECOND));
  }

  @Override
  public void handle(Call call) {
    ImmutableList<String> path = call.segments();
    if (call.method().equals("POST") && call.path().equals("/v1/transactions")) {
      commit(call);
    } else if (isRows(call, path) && path.size() == 5) {
      read(call, RowKey.of(path.get(2), path.get(4)));
    } else if (isRows(call, path) && path.size() == 4) {
      scan(call, path.get(2));
    } else {
      call.answer(Answer.notFound());
    }
  }

  @Override
  public ObjectNode state() {
    return Json.object()
        .put("reads", reads)
        .put("commits", commits)
        .put("conflicts", conflicts)
        .put("refusals", refusals);
  }

  private static boolean isRows(Call call, ImmutableList<String> path) {
    return call.method().equals("GET")
        && path.size() >= 4
        && path.get(1).equals("tables")
        && path.get(3).equals("rows");
  }

  private void commit(Call call) {
    Transaction transaction = parse(call.json());
    double limit = faults.valueOr(Fault.RATE_LIMIT_PER_SECOND, writesPerSecond);
    int writes = Math.max(1, transaction.writes().size());
    if (!writeLimit.tryAcquire(writes, limit, timer.nowMillis())) {
      refuse(call);
      return;
    }
    CommitResult result = tables.commit(transaction);
    if (result instanceof CommitResult.Committed committed) {
      commits++;
      call.answer(Answer.json(200, describe(committed)));
    } else if (result instanceof CommitResult.Conflict conflict) {
      conflicts++;
      call.answer(Answer.json(409, describe(conflict)));
    }
  }

  private void read(Call call, RowKey key) {
    if (admitRead(call)) {
      call.answer(Answer.found(tables.read(key).map(TableStandIn::describe)));
    }
  }

  private void scan(Call call, String table) {
    if (!admitRead(call)) {
      return;
    }
    int limit = call.query("limit").map(Integer::parseInt).orElse(MAX_ROWS);
    ArrayNode rows = Json.array();
    tables
        .scan(
            table,
            call.query("prefix").orElse(""),
            call.query("after").orElse(""),
            Math.min(limit, MAX_ROWS))
        .forEach(row -> rows.add(describe(row)));
    call.answer(Answer.json(200, Json.object().set("rows", rows)));
  }

  private boolean admitRead(Call call) {
    double limit = faults.valueOr(Fault.RATE_LIMIT_PER_SECOND, readsPerSecond);
    if (!readLimit.tryAcquire(1, limit, timer.nowMillis())) {
      refuse(call);
      return false;
    }
    reads++;
    return true;
  }

  private void refuse(Call call) {
    refusals++;
    call.answer(Answer.retryLater(429, "rate-limited", RETRY_AFTER_SECONDS));
  }

  private static Transaction parse(JsonNode body) {
    Transaction.Builder transaction = Transaction.builder();
    for (JsonNode condition : body.path("conditions")) {
      transaction.requireVersion(rowKey(condition), condition.path("version").asLong());
    }
    for (JsonNode write : body.path("writes")) {
      if (write.path("delete").asBoolean(false)) {
        transaction.delete(rowKey(write));
      } else {
        transaction.put(rowKey(write), write.path("value"));
      }
    }
    return transaction.build();
  }

  private static RowKey rowKey(JsonNode node) {
    return RowKey.of(node.path("table").asText(), node.path("key").asText());
  }

  private static ObjectNode describe(CommitResult.Committed committed) {
    ObjectNode answer = Json.object().put("committed", true);
    ArrayNode rows = answer.putArray("rows");
    committed.versions().forEach((key, version) -> rows.add(describe(key, version)));
    return answer;
  }

  private static ObjectNode describe(CommitResult.Conflict conflict) {
    ObjectNode answer = Json.object().put("committed", false);
    ArrayNode rows = answer.putArray("conflicts");
    conflict
        .conflicts()
        .forEach(
            (key, row) -> {
              long version = row.map(Row::version).orElse(Transaction.ABSENT);
              ObjectNode described = describe(key, version);
              row.ifPresent(present -> described.set("value", present.value()));
              rows.add(described);
            });
    return answer;
  }

  private static ObjectNode describe(RowKey key, long version) {
    return Json.object().put("table", key.table()).put("key", key.key()).put("version", version);
  }

  private static ObjectNode describe(Row row) {
    ObjectNode answer = Json.object().put("key", row.key()).put("version", row.version());
    answer.set("value", row.value());
    return answer;
  }
}
