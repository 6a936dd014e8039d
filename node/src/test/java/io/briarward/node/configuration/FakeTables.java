package io.briarward.node.configuration;

import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.RowPage;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import io.briarward.node.platform.PlatformException;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.concurrent.Callable;

/** An in-memory table service that can be unavailable or lose the responses to commits. */
final class FakeTables implements TableService {
  private final TableState state = TableState.create();
  private boolean unavailable;
  private int answersToLose;

  void setUnavailable(boolean isUnavailable) {
    unavailable = isUnavailable;
  }

  void loseAnswers(int count) {
    answersToLose = count;
  }

  @Override
  public Single<CommitResult> commit(Transaction transaction) {
    return execute(
        () -> {
          CommitResult result = state.commit(transaction);
          if (answersToLose > 0) {
            answersToLose--;
            throw new PlatformException(PlatformException.Effect.UNKNOWN, "response lost");
          }
          return result;
        });
  }

  @Override
  public Single<Optional<Row>> read(RowKey key) {
    return execute(() -> state.read(key));
  }

  @Override
  public Single<RowPage> scan(String table, String prefix, String after, int limit) {
    return execute(() -> state.scanPage(table, prefix, after, limit));
  }

  private <T> Single<T> execute(Callable<T> operation) {
    return Single.fromCallable(
        () -> {
          if (unavailable) {
            throw new PlatformException(
                PlatformException.Effect.NONE, "table service is unavailable");
          }
          return operation.call();
        });
  }
}
