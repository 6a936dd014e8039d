package io.briarward.node.duty;

import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import io.briarward.node.platform.PlatformException;
import io.briarward.node.platform.PlatformException.Effect;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** A table service in memory that can be out, or lose its answers after the effect. */
public final class FakeTableService implements TableService {
  private final TableState state = TableState.create();
  private boolean out;
  private boolean losesAnswers;

  /** Returns the rows. */
  public TableState state() {
    return state;
  }

  /** Sets whether operations fail without an effect. */
  public void setOut(boolean out) {
    this.out = out;
  }

  /** Sets whether operations fail after their effect. */
  public void setLosesAnswers(boolean losesAnswers) {
    this.losesAnswers = losesAnswers;
  }

  @Override
  public Single<CommitResult> commit(Transaction transaction) {
    return answer(() -> state.commit(transaction));
  }

  @Override
  public Single<Optional<Row>> read(RowKey key) {
    return answer(() -> state.read(key));
  }

  @Override
  public Single<ImmutableList<Row>> scan(String table, String prefix, String after, int limit) {
    return answer(() -> state.scan(table, prefix, after, limit));
  }

  private <T> Single<T> answer(java.util.function.Supplier<T> operation) {
    return Single.fromCallable(
        () -> {
          if (out) {
            throw new PlatformException(Effect.NONE, "out");
          }
          T result = operation.get();
          if (losesAnswers) {
            throw new PlatformException(Effect.UNKNOWN, "answer lost");
          }
          return result;
        });
  }
}
