package io.briarward.node.rollout;

import com.google.common.collect.ImmutableList;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.RowPage;
import io.briarward.core.platform.Transaction;
import io.briarward.core.rollout.GroupResult;
import io.briarward.core.rollout.RolloutCodec;
import io.briarward.core.rollout.RolloutHeader;
import io.briarward.core.rollout.RolloutKey;
import io.briarward.core.rollout.RolloutSpec;
import io.briarward.core.rollout.RolloutView;
import io.briarward.core.weights.AnnouncedVersion;
import io.briarward.node.platform.ObjectStore;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/** Reads and writes the stored state of rollouts. */
final class RolloutStore {
  private static final int MAX_SCAN_ROWS = 500;

  private final TableService tables;
  private final ObjectStore objects;

  private RolloutStore(TableService tables, ObjectStore objects) {
    this.tables = tables;
    this.objects = objects;
  }

  static RolloutStore create(TableService tables, ObjectStore objects) {
    return new RolloutStore(tables, objects);
  }

  Single<CommitResult> commit(Transaction transaction) {
    return tables.commit(transaction);
  }

  Single<Optional<Row>> read(RowKey key) {
    return tables.read(key);
  }

  /** Returns a view that contains the rollout's header; fails if the rollout does not exist. */
  Single<RolloutView> open(RolloutKey key) {
    return tables
        .read(key.header())
        .map(row -> RolloutView.create(key, row.orElseThrow(() -> notFound(key))));
  }

  /** Reads all changes into the view. */
  Completable refresh(RolloutView view) {
    Completable header =
        tables
            .read(view.key().header())
            .doOnSuccess(row -> view.updateHeader(row.orElseThrow(() -> notFound(view.key()))))
            .ignoreElement();
    return Completable.mergeArray(header, refreshOutcomes(view), refreshProgress(view));
  }

  /** Reads the new deliveries and the announced version into the view. */
  Completable refreshProgress(RolloutView view) {
    Completable announced =
        tables
            .read(AnnouncedVersion.key(view.header().service()))
            .doOnSuccess(view::updateAnnounced)
            .ignoreElement();
    return Completable.mergeArray(refreshDeliveries(view), announced);
  }

  /** Reads the spec of an accepted rollout. */
  Single<RolloutSpec> spec(RolloutKey key, RolloutHeader header) {
    return readObject(key.specObject(header.specSha256()))
        .map(bytes -> RolloutCodec.parseSpec(bytes.getBytes()));
  }

  Completable putSpec(RolloutKey key, RolloutSpec spec) {
    String object = key.specObject(RolloutHeader.sha256(spec));
    return objects.putIfAbsent(object, Buffer.buffer(RolloutCodec.printSpec(spec))).ignoreElement();
  }

  Completable putGroups(String object, ImmutableList<GroupResult> groups) {
    return objects
        .putIfAbsent(object, Buffer.buffer(RolloutCodec.printGroups(groups)))
        .ignoreElement();
  }

  Single<ImmutableList<GroupResult>> groups(String object) {
    return readObject(object).map(bytes -> RolloutCodec.parseGroups(bytes.getBytes()));
  }

  /** Returns the rows of unfinished shards that follow the key {@code after}, ordered by key. */
  Single<RowPage> shards(String after) {
    return tables.scan(RolloutKey.SHARDS, "", after, MAX_SCAN_ROWS);
  }

  /** Reads the new outcomes into the view. */
  Completable refreshOutcomes(RolloutView view) {
    return tables
        .scan(RolloutKey.OUTCOMES, view.key().prefix(), view.lastOutcomeKey(), MAX_SCAN_ROWS)
        .doOnSuccess(page -> view.addOutcomes(page.rows()))
        .flatMapCompletable(
            page -> page.truncated() ? refreshOutcomes(view) : Completable.complete());
  }

  private Completable refreshDeliveries(RolloutView view) {
    return tables
        .scan(RolloutKey.DELIVERIES, view.key().prefix(), view.lastDeliveryKey(), MAX_SCAN_ROWS)
        .doOnSuccess(page -> view.addDeliveries(page.rows()))
        .flatMapCompletable(
            page -> page.truncated() ? refreshDeliveries(view) : Completable.complete());
  }

  private Single<Buffer> readObject(String key) {
    return objects
        .get(key)
        .map(
            found ->
                found.orElseThrow(
                    () -> Failure.unknown(ErrorKind.INTERNAL, "object is missing").toException()));
  }

  private static RuntimeException notFound(RolloutKey key) {
    return Failure.notRun(ErrorKind.NOT_FOUND, "no rollout " + key.rollout()).toException();
  }
}
