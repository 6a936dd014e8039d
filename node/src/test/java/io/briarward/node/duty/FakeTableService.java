package io.briarward.node.duty;

import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.RowPage;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import io.briarward.node.platform.PlatformException;
import io.briarward.node.platform.PlatformException.Effect;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.function.Supplier;

/** An in-memory table service that can fail operations before or after they take effect. */
public final class FakeTableService implements TableService {
  private final TableState state = TableState.create();
  private boolean out;
  private boolean losesAnswers;

  /** Returns the stored rows. */
  public TableState state() {
    return state;
  }

  /** Sets whether operations fail without taking effect. */
  public void setOut(boolean out) {
    this.out = out;
  }

  /** Sets whether operations fail after taking effect, as if their responses were lost. */
  public void setLosesAnswers(boolean losesAnswers) {
    this.losesAnswers = losesAnswers;
  }

  @Override
  public Single<CommitResult> commit(Transaction transaction) {
    return execute(() -> state.commit(transaction));
  }

  @Override
  public Single<Optional<Row>> read(RowKey key) {
    return execute(() -> state.read(key));
  }

  @Override
  public Single<RowPage> scan(String table, String prefix, String after, int limit) {
    return execute(() -> state.scanPage(table, prefix, after, limit));
  }

  private <T> Single<T> execute(Supplier<T> operation) {
    return Single.fromCallable(
        () -> {
          if (out) {
            throw new PlatformException(Effect.NONE, "table service is unavailable");
          }
          T result = operation.get();
          if (losesAnswers) {
            throw new PlatformException(Effect.UNKNOWN, "response lost");
          }
          return result;
        });
  }
}
