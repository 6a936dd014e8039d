package io.briarward.node.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import com.google.common.net.UrlEscapers;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.RowPage;
import io.briarward.core.platform.Transaction;
import io.briarward.node.platform.JsonHttpClient.Reply;
import io.briarward.node.platform.PlatformException.Effect;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;

/** An HTTP client of the platform's table service. */
public final class HttpTableService implements TableService {
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private final JsonHttpClient client;
  private final HostAndPort server;

  private HttpTableService(JsonHttpClient client, HostAndPort server) {
    this.client = client;
    this.server = server;
  }

  /** Returns a client of the table service at {@code server}. */
  public static HttpTableService create(JsonHttpClient client, HostAndPort server) {
    return new HttpTableService(client, server);
  }

  @Override
  public Single<CommitResult> commit(Transaction transaction) {
    return client
        .send(HttpMethod.POST, server, "/v1/transactions", toJson(transaction))
        .map(HttpTableService::toCommitResult);
  }

  @Override
  public Single<Optional<Row>> read(RowKey key) {
    String path = "/v1/tables/" + escape(key.table()) + "/rows/" + escape(key.key());
    return client.send(HttpMethod.GET, server, path).map(HttpTableService::toOptionalRow);
  }

  @Override
  public Single<RowPage> scan(String table, String prefix, String after, int limit) {
    String path =
        "/v1/tables/"
            + escape(table)
            + "/rows?prefix="
            + escape(prefix)
            + "&after="
            + escape(after)
            + "&limit="
            + limit;
    return client.send(HttpMethod.GET, server, path).map(HttpTableService::toPage);
  }

  private static ObjectNode toJson(Transaction transaction) {
    ObjectNode body = JSON.objectNode();
    ArrayNode conditions = body.putArray("conditions");
    for (Transaction.Condition condition : transaction.conditions()) {
      conditions.add(rowAddress(condition.row()).put("version", condition.version()));
    }
    ArrayNode writes = body.putArray("writes");
    for (Transaction.Write write : transaction.writes()) {
      ObjectNode node = rowAddress(write.row());
      write
          .value()
          .ifPresentOrElse(value -> node.set("value", value), () -> node.put("delete", true));
      writes.add(node);
    }
    return body;
  }

  private static ObjectNode rowAddress(RowKey key) {
    return JSON.objectNode().put("table", key.table()).put("key", key.key());
  }

  private static CommitResult toCommitResult(Reply reply) {
    return switch (reply.status()) {
      case OK -> toCommitted(reply.json());
      case CONFLICT -> toConflict(reply.json());
      default -> throw unexpectedStatus(reply);
    };
  }

  private static CommitResult toCommitted(JsonNode body) {
    ImmutableMap.Builder<RowKey, Long> versions = ImmutableMap.builder();
    for (JsonNode row : body.path("rows")) {
      versions.put(toRowKey(row), row.path("version").asLong());
    }
    return new CommitResult.Committed(versions.buildKeepingLast());
  }

  private static CommitResult toConflict(JsonNode body) {
    ImmutableMap.Builder<RowKey, Optional<Row>> conflicts = ImmutableMap.builder();
    for (JsonNode row : body.path("conflicts")) {
      boolean absent = row.path("version").asLong() == Transaction.ABSENT;
      conflicts.put(toRowKey(row), absent ? Optional.empty() : Optional.of(toRow(row)));
    }
    return new CommitResult.Conflict(conflicts.buildKeepingLast());
  }

  private static Optional<Row> toOptionalRow(Reply reply) {
    return switch (reply.status()) {
      case OK -> Optional.of(toRow(reply.json()));
      case NOT_FOUND -> Optional.empty();
      default -> throw unexpectedStatus(reply);
    };
  }

  private static RowPage toPage(Reply reply) {
    if (reply.status() != OK) {
      throw unexpectedStatus(reply);
    }
    ImmutableList.Builder<Row> builder = ImmutableList.builder();
    reply.json().path("rows").forEach(row -> builder.add(toRow(row)));
    ImmutableList<Row> rows = builder.build();
    // A service that does not tell is read until a page is empty.
    return new RowPage(rows, reply.json().path("truncated").asBoolean(!rows.isEmpty()));
  }

  private static RowKey toRowKey(JsonNode node) {
    return RowKey.of(node.path("table").asText(), node.path("key").asText());
  }

  private static Row toRow(JsonNode node) {
    return new Row(node.path("key").asText(), node.path("version").asLong(), node.path("value"));
  }

  private static PlatformException unexpectedStatus(Reply reply) {
    return new PlatformException(
        Effect.NONE, "table service returned unexpected status " + reply.status());
  }

  private static String escape(String text) {
    // The escaper encodes a space as +, which a server decodes as a space only in a query.
    return UrlEscapers.urlFormParameterEscaper().escape(text).replace("+", "%20");
  }
}
