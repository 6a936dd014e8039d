package io.briarward.standins.table;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.RowPage;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import io.briarward.standins.http.Exchange;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Options;
import io.briarward.standins.http.RateLimit;
import io.briarward.standins.http.Response;
import io.briarward.standins.http.StandIn;
import io.briarward.standins.http.Timer;

/**
 * A stand-in for the platform's transactional table service.
 *
 * <p>Limits the rates of reads and writes separately. Confined to its event loop.
 */
public final class TableStandIn implements StandIn {
  private static final double DEFAULT_WRITES_PER_SECOND = 500;
  private static final double DEFAULT_READS_PER_SECOND = 2_000;
  private static final long RETRY_AFTER_SECONDS = 1;
  private static final int DEFAULT_PAGE_ROWS = 500;

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

  /** Returns the faults that this stand-in supports, all switched off. */
  public static Faults faults(long seed) {
    return Faults.of(seed, Fault.RATE_LIMIT_PER_SECOND);
  }

  /**
   * Creates a stand-in without rows.
   *
   * @param options {@code writesPerSecond} and {@code readsPerSecond}, the rate limits
   */
  public static TableStandIn create(Timer timer, Faults faults, Options options) {
    return new TableStandIn(
        timer,
        faults,
        options.decimal("writesPerSecond", DEFAULT_WRITES_PER_SECOND),
        options.decimal("readsPerSecond", DEFAULT_READS_PER_SECOND));
  }

  @Override
  public void handle(Exchange exchange) {
    ImmutableList<String> path = exchange.segments();
    if (exchange.method().equals("POST") && exchange.path().equals("/v1/transactions")) {
      commit(exchange);
    } else if (isRowsPath(exchange, path) && path.size() == 5) {
      read(exchange, RowKey.of(path.get(2), path.get(4)));
    } else if (isRowsPath(exchange, path) && path.size() == 4) {
      scan(exchange, path.get(2));
    } else {
      exchange.respond(Response.notFound());
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

  private static boolean isRowsPath(Exchange exchange, ImmutableList<String> path) {
    return exchange.method().equals("GET")
        && path.size() >= 4
        && path.get(1).equals("tables")
        && path.get(3).equals("rows");
  }

  private void commit(Exchange exchange) {
    Transaction transaction = parse(exchange.json());
    double limit = faults.valueOr(Fault.RATE_LIMIT_PER_SECOND, writesPerSecond);
    int writes = Math.max(1, transaction.writes().size());
    if (!writeLimit.tryAcquire(writes, limit, timer.nowMillis())) {
      reject(exchange);
      return;
    }
    CommitResult result = tables.commit(transaction);
    if (result instanceof CommitResult.Committed committed) {
      commits++;
      exchange.respond(Response.json(200, toJson(committed)));
    } else if (result instanceof CommitResult.Conflict conflict) {
      conflicts++;
      exchange.respond(Response.json(409, toJson(conflict)));
    }
  }

  private void read(Exchange exchange, RowKey key) {
    if (tryAcquireRead(exchange)) {
      exchange.respond(Response.okOrNotFound(tables.read(key).map(TableStandIn::toJson)));
    }
  }

  private void scan(Exchange exchange, String table) {
    if (!tryAcquireRead(exchange)) {
      return;
    }
    int limit = exchange.query("limit").map(Integer::parseInt).orElse(DEFAULT_PAGE_ROWS);
    ArrayNode rows = Json.array();
    RowPage page =
        tables.scanPage(
            table, exchange.query("prefix").orElse(""), exchange.query("after").orElse(""), limit);
    page.rows().forEach(row -> rows.add(toJson(row)));
    ObjectNode body = Json.object().put("truncated", page.truncated());
    body.set("rows", rows);
    exchange.respond(Response.json(200, body));
  }

  private boolean tryAcquireRead(Exchange exchange) {
    double limit = faults.valueOr(Fault.RATE_LIMIT_PER_SECOND, readsPerSecond);
    if (!readLimit.tryAcquire(1, limit, timer.nowMillis())) {
      reject(exchange);
      return false;
    }
    reads++;
    return true;
  }

  private void reject(Exchange exchange) {
    refusals++;
    exchange.respond(Response.retryLater(429, "rate-limited", RETRY_AFTER_SECONDS));
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

  private static ObjectNode toJson(CommitResult.Committed committed) {
    ObjectNode response = Json.object().put("committed", true);
    ArrayNode rows = response.putArray("rows");
    committed.versions().forEach((key, version) -> rows.add(toJson(key, version)));
    return response;
  }

  private static ObjectNode toJson(CommitResult.Conflict conflict) {
    ObjectNode response = Json.object().put("committed", false);
    ArrayNode rows = response.putArray("conflicts");
    conflict
        .conflicts()
        .forEach(
            (key, row) -> {
              long version = row.map(Row::version).orElse(Transaction.ABSENT);
              ObjectNode conflictJson = toJson(key, version);
              row.ifPresent(present -> conflictJson.set("value", present.value()));
              rows.add(conflictJson);
            });
    return response;
  }

  private static ObjectNode toJson(RowKey key, long version) {
    return Json.object().put("table", key.table()).put("key", key.key()).put("version", version);
  }

  private static ObjectNode toJson(Row row) {
    ObjectNode response = Json.object().put("key", row.key()).put("version", row.version());
    response.set("value", row.value());
    return response;
  }
}
