package io.briarward.node.rollout;

import io.briarward.core.configuration.RolloutPolicy;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.rollout.RolloutHeader;
import io.briarward.core.rollout.RolloutKey;
import io.briarward.core.rollout.RolloutSpec;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** Accepts and cancels rollouts. Both operations are idempotent. */
final class Submissions {
  private final RolloutContext context;

  Submissions(RolloutContext context) {
    this.context = context;
  }

  /**
   * The outcome of a submission.
   *
   * @param created whether this submission inserted the rollout
   * @param header the stored header of the rollout
   */
  record SubmitResult(boolean created, RolloutHeader header) {}

  /** Inserts the rollout; fails if a different rollout with the same id exists. */
  Single<SubmitResult> submit(RolloutKey key, RolloutSpec spec, RolloutPolicy policy) {
    RolloutHeader header = RolloutHeader.submit(spec, policy, context.wallMillis().getAsLong());
    RolloutStore store = context.store();
    return store
        .read(key.header())
        .flatMap(
            row ->
                row.isPresent()
                    ? Single.just(requireSameSpec(row.get(), header))
                    : store.putSpec(key, spec).andThen(Single.defer(() -> insert(key, header))));
  }

  private Single<SubmitResult> insert(RolloutKey key, RolloutHeader header) {
    return context
        .store()
        .commit(header.insert(key))
        .map(
            result ->
                result instanceof CommitResult.Conflict conflict
                    ? requireSameSpec(storedRow(conflict, key), header)
                    : new SubmitResult(true, header));
  }

  private static Row storedRow(CommitResult.Conflict conflict, RolloutKey key) {
    return conflict.conflicts().get(key.header()).orElseThrow();
  }

  private static SubmitResult requireSameSpec(Row row, RolloutHeader header) {
    RolloutHeader stored = RolloutHeader.fromRow(row);
    if (!stored.specSha256().equals(header.specSha256())) {
      String detail = "another rollout has this id";
      throw Failure.notRun(ErrorKind.IDEMPOTENCY_CONFLICT, detail).toException();
    }
    return new SubmitResult(false, stored);
  }

  /** Cancels the rollout; fails if it does not exist. */
  Completable cancel(RolloutKey key) {
    return context.store().read(key.header()).flatMapCompletable(row -> cancel(key, row));
  }

  private Completable cancel(RolloutKey key, Optional<Row> row) {
    if (row.isEmpty()) {
      String detail = "no rollout " + key.rollout();
      return Completable.error(Failure.notRun(ErrorKind.NOT_FOUND, detail).toException());
    }
    RolloutHeader header = RolloutHeader.fromRow(row.get());
    if (header.cancelled()) {
      return Completable.complete();
    }
    return context
        .store()
        .commit(header.cancel(key, row.get().version()))
        .flatMapCompletable(result -> result.committed() ? Completable.complete() : cancel(key));
  }
}
