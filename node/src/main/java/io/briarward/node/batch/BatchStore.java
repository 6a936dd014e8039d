package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.json.JsonTrees;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import io.briarward.node.platform.JsonHttpClient;
import io.briarward.node.platform.ObjectStore;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Stores batches: submissions as objects, heads and results as rows.
 *
 * <p>Every call to the store completes or fails within a bounded time, on the event loop.
 */
final class BatchStore {
  /** The table with the head of each batch. */
  static final String HEADS_TABLE = "batch-heads";

  static final String RESULTS_TABLE = "batch-results";

  /** Results above this size are stored as objects, since rows are limited to 64 KiB. */
  private static final int MAX_ROW_BYTES = 48 << 10;

  /** The largest number of rows read by one scan. */
  private static final int MAX_SCAN_ROWS = 60;

  /** The size of the objects that are read for one page; a response is limited to 1 MB. */
  private static final long MAX_PAGE_OBJECT_BYTES = 1_000_000;

  /** The number of object names that are tried for a submission. */
  private static final int MAX_SUBMISSION_NAMES = 3;

  /** Twenty times the usual response time; three attempts fit into a caller's time-out. */
  private static final long OBJECT_TIMEOUT_MILLIS = 500;

  /** The time-out of a call to the store, parts of which may not respond. */
  private static final long CALL_TIMEOUT_MILLIS = 1_500;

  private final Scheduler scheduler;
  private final TableService tables;
  private final ObjectStore objects;

  BatchStore(Scheduler scheduler, TableService tables, ObjectStore objects) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.tables = checkNotNull(tables, "tables");
    this.objects = checkNotNull(objects, "objects");
  }

  /** A head and the version of its row. */
  record StoredHead(BatchHead head, long rowVersion) {
    /** Returns a head that a transaction has just written. */
    static StoredHead written(BatchHead head, CommitResult.Committed committed) {
      return new StoredHead(head, committed.versions().get(headKey(head.id())));
    }

    static StoredHead of(Row row) {
      return new StoredHead(BatchHead.parse(row.value()), row.version());
    }
  }

  /**
   * Writes a submission and returns the name of its object.
   *
   * <p>Part of the store may not respond while the rest does, so other names are tried after a
   * failure.
   */
  Single<String> putSubmission(String id, Buffer bytes) {
    return putSubmission(id, bytes, 0).observeOn(scheduler);
  }

  private Single<String> putSubmission(String id, Buffer bytes, int attempt) {
    String name = "batch-" + attempt + "-" + id;
    Single<String> written =
        objects
            .putIfAbsent(name, bytes)
            .map(unused -> name)
            .timeout(OBJECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler);
    return attempt + 1 == MAX_SUBMISSION_NAMES
        ? written
        : written.onErrorResumeNext(unused -> putSubmission(id, bytes, attempt + 1));
  }

  /** Returns the submission of a batch as its caller sent it, or empty if it is missing. */
  Single<Optional<Buffer>> submissionBytes(BatchHead head) {
    return withTimeout(objects.get(head.submission()));
  }

  Single<Optional<StoredHead>> head(String id) {
    return withTimeout(tables.read(headKey(id)).map(row -> row.map(StoredHead::of)));
  }

  /** Inserts a head; a conflict contains the head that is stored. */
  Single<CommitResult> insert(BatchHead head) {
    RowKey key = headKey(head.id());
    return withTimeout(
        tables.commit(Transaction.builder().requireAbsent(key).put(key, head.toJson()).build()));
  }

  /** Replaces a head if it is unchanged, and appends results to those it lists. */
  Single<CommitResult> replace(
      StoredHead expected, BatchHead next, ImmutableList<JsonNode> resultRows) {
    RowKey key = headKey(next.id());
    Transaction.Builder transaction =
        Transaction.builder().requireVersion(key, expected.rowVersion()).put(key, next.toJson());
    int position = expected.head().listed();
    for (JsonNode row : resultRows) {
      transaction.put(RowKey.of(RESULTS_TABLE, resultKey(next.id(), position)), row);
      position++;
    }
    return withTimeout(tables.commit(transaction.build()));
  }

  /** Returns the row value of a result, which is written to an object if it is too large. */
  Single<JsonNode> toRow(String batchId, ItemResult result) {
    JsonNode json = result.toJson();
    byte[] bytes = JsonTrees.write(json).getBytes(StandardCharsets.UTF_8);
    if (bytes.length <= MAX_ROW_BYTES) {
      return Single.just(json);
    }
    String object = "output-" + batchId + "-" + result.itemId();
    return withTimeout(
        objects
            .putIfAbsent(object, Buffer.buffer(bytes))
            .map(
                written ->
                    JsonNodeFactory.instance
                        .objectNode()
                        .put("itemId", result.itemId())
                        .put("object", object)
                        .put("bytes", bytes.length)));
  }

  /**
   * Returns results from a position on, at most {@link #MAX_SCAN_ROWS}, and of those in objects at
   * most as many as fit into one response, but at least one.
   */
  Single<ImmutableList<ItemResult>> results(String batchId, int from) {
    return withTimeout(
        tables
            .scan(RESULTS_TABLE, batchId + "/", resultKey(batchId, from - 1), MAX_SCAN_ROWS)
            .flatMap(page -> toResult(firstRows(page.rows()))));
  }

  /** Returns the first rows; objects of which callers get nothing yet are not read. */
  private static ImmutableList<Row> firstRows(ImmutableList<Row> rows) {
    long objectBytes = 0;
    for (int i = 0; i < rows.size(); i++) {
      JsonNode value = rows.get(i).value();
      objectBytes += value.has("object") ? value.path("bytes").asLong(MAX_ROW_BYTES) : 0;
      if (i > 0 && objectBytes > MAX_PAGE_OBJECT_BYTES) {
        return rows.subList(0, i);
      }
    }
    return rows;
  }

  /** Returns the ids of all items whose results are recorded, however many pages they fill. */
  Single<ImmutableList<String>> recordedItemIds(String batchId) {
    return recordedItemIds(batchId, batchId + "/", ImmutableList.of());
  }

  private Single<ImmutableList<String>> recordedItemIds(
      String batchId, String afterKey, ImmutableList<String> previousIds) {
    return withTimeout(tables.scan(RESULTS_TABLE, batchId + "/", afterKey, MAX_SCAN_ROWS))
        .flatMap(
            page -> {
              ImmutableList.Builder<String> ids = ImmutableList.builder();
              ids.addAll(previousIds);
              page.rows().forEach(row -> ids.add(row.value().path("itemId").asText()));
              return page.nextAfter()
                  .map(last -> recordedItemIds(batchId, last, ids.build()))
                  .orElseGet(() -> Single.just(ids.build()));
            });
  }

  /**
   * Removes a batch with its results and its submission.
   *
   * <p>The head is removed last, so that the batch is found again after a failure.
   */
  Completable remove(StoredHead stored) {
    return removeAll(stored)
        .timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
        .observeOn(scheduler);
  }

  private Completable removeAll(StoredHead stored) {
    BatchHead head = stored.head();
    RowKey key = headKey(head.id());
    return removeResults(head.id())
        .andThen(objects.delete(head.submission()))
        .andThen(
            Completable.defer(
                () ->
                    tables
                        .commit(
                            Transaction.builder()
                                .requireVersion(key, stored.rowVersion())
                                .delete(key)
                                .build())
                        .ignoreElement()));
  }

  private Completable removeResults(String batchId) {
    return tables
        .scan(RESULTS_TABLE, batchId + "/", batchId + "/", MAX_SCAN_ROWS)
        .flatMapCompletable(
            page -> {
              ImmutableList<Row> rows = page.rows();
              if (rows.isEmpty()) {
                return Completable.complete();
              }
              Transaction.Builder transaction = Transaction.builder();
              rows.forEach(row -> transaction.delete(RowKey.of(RESULTS_TABLE, row.key())));
              return Flowable.fromIterable(rows)
                  .filter(row -> row.value().has("object"))
                  .concatMapCompletable(row -> objects.delete(row.value().path("object").asText()))
                  .andThen(tables.commit(transaction.build()).ignoreElement())
                  .andThen(Completable.defer(() -> removeResults(batchId)));
            });
  }

  private Single<ImmutableList<ItemResult>> toResult(ImmutableList<Row> rows) {
    return Single.concatEager(rows.stream().map(row -> toResult(row.value())).toList())
        .toList()
        .map(ImmutableList::copyOf);
  }

  private Single<ItemResult> toResult(JsonNode value) {
    if (!value.has("object")) {
      return Single.just(ItemResult.parse(value));
    }
    return objects
        .get(value.path("object").asText())
        .map(bytes -> ItemResult.parse(JsonHttpClient.parse(bytes.orElseThrow())));
  }

  private <T> Single<T> withTimeout(Single<T> call) {
    return call.timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler).observeOn(scheduler);
  }

  static RowKey headKey(String id) {
    return RowKey.of(HEADS_TABLE, id);
  }

  private static String resultKey(String batchId, int position) {
    return String.format("%s/%07d", batchId, position + 1);
  }
}
