package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import io.briarward.node.duty.PlatformCalls;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.TreeMap;

/** Stores the usage counts of each process and the frozen figures of each window. */
final class UsageStore {
  private static final String COUNTS = "usage-counts";
  private static final String FROZEN = "usage-frozen";
  private static final int MAX_DELETED_ROWS = 90; // A transaction holds at most 100 entries.

  private final TableService tables;

  UsageStore(TableService tables) {
    this.tables = checkNotNull(tables, "tables");
  }

  Single<CommitResult> putCounts(
      long window, String incarnation, ImmutableMap<String, Long> counts) {
    return tables.commit(
        Transaction.builder().put(countsKey(window, incarnation), toJson(counts)).build());
  }

  /**
   * Returns the figures of a window, freezing them first if necessary.
   *
   * <p>The row is written only if it is absent, so that every process reports the same figures.
   */
  Single<ImmutableMap<String, Long>> freeze(long window) {
    return tables
        .read(frozenKey(window))
        .flatMap(
            frozen ->
                frozen.isPresent()
                    ? Single.just(fromJson(frozen.get().value()))
                    : sum(window).flatMap(figures -> freeze(window, figures)));
  }

  private Single<ImmutableMap<String, Long>> freeze(
      long window, ImmutableMap<String, Long> figures) {
    RowKey key = frozenKey(window);
    return tables
        .commit(Transaction.builder().requireAbsent(key).put(key, toJson(figures)).build())
        .map(
            result -> {
              if (result instanceof CommitResult.Conflict conflict) {
                Optional<Row> present = conflict.conflicts().get(key);
                return fromJson(present.orElseThrow().value());
              }
              return figures;
            });
  }

  /** Removes the counts and the frozen figures of a window. */
  Single<CommitResult> remove(long window) {
    return tables
        .scan(COUNTS, window + "/", window + "/", MAX_DELETED_ROWS)
        .flatMap(
            page -> {
              Transaction.Builder transaction = Transaction.builder();
              page.rows().forEach(row -> transaction.delete(RowKey.of(COUNTS, row.key())));
              if (!page.truncated()) {
                return tables.commit(transaction.delete(frozenKey(window)).build());
              }
              return tables.commit(transaction.build()).flatMap(unused -> remove(window));
            });
  }

  private Single<ImmutableMap<String, Long>> sum(long window) {
    return PlatformCalls.scanAll(tables, COUNTS, window + "/")
        .map(
            rows -> {
              TreeMap<String, Long> sums = new TreeMap<>();
              for (Row row : rows) {
                fromJson(row.value()).forEach((name, count) -> sums.merge(name, count, Long::sum));
              }
              return ImmutableSortedMap.copyOf(sums);
            });
  }

  private static RowKey countsKey(long window, String incarnation) {
    return RowKey.of(COUNTS, window + "/" + incarnation);
  }

  private static RowKey frozenKey(long window) {
    return RowKey.of(FROZEN, Long.toString(window));
  }

  private static JsonNode toJson(ImmutableMap<String, Long> counts) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    counts.forEach(json::put);
    return json;
  }

  private static ImmutableMap<String, Long> fromJson(JsonNode json) {
    ImmutableMap.Builder<String, Long> counts = ImmutableMap.builder();
    json.fields().forEachRemaining(field -> counts.put(field.getKey(), field.getValue().asLong()));
    return counts.buildOrThrow();
  }
}
