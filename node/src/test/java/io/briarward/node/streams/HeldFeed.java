package io.briarward.node.streams;

import com.google.common.collect.ImmutableList;
import io.briarward.node.platform.ChangeFeed;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.PublishSubject;

/** One node's feed, whose long polls can be held up and then answered as of before. */
final class HeldFeed implements ChangeFeed {
  private final ChangeFeed store;
  private final PublishSubject<Boolean> released = PublishSubject.create();
  private boolean held;

  HeldFeed(ChangeFeed store) {
    this.store = store;
  }

  /** Keeps all responses to long polls from the node. */
  void hold() {
    held = true;
  }

  /** Delivers a response without changes, as one that was sent before they were made. */
  void release() {
    held = false;
    released.onNext(true);
  }

  @Override
  public Single<Snapshot> snapshot(String table) {
    return store.snapshot(table);
  }

  @Override
  public Single<Changes> changes(String table, long afterVersion, long waitMillis) {
    return store
        .changes(table, afterVersion, waitMillis)
        .flatMap(
            changes ->
                held && waitMillis > 0
                    ? released
                        .firstOrError()
                        .map(
                            unused ->
                                new Changes(
                                    ImmutableList.of(), afterVersion, changes.clockMillis()))
                    : Single.just(changes));
  }
}
