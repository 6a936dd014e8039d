package io.briarward.node.rollout;

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
import java.util.function.BooleanSupplier;

/** An in-memory table service that can simulate outages and lost responses. */
final class MemoryTables implements TableService {
  private final TableState state = TableState.create();
  private BooleanSupplier outage = () -> false;
  private BooleanSupplier responseLost = () -> false;
  private long writes;
  private long reads;

  void failWhile(BooleanSupplier condition) {
    outage = condition;
  }

  void loseResponsesWhile(BooleanSupplier condition) {
    responseLost = condition;
  }

  long writes() {
    return writes;
  }

  long reads() {
    return reads;
  }

  @Override
  public Single<CommitResult> commit(Transaction transaction) {
    return Single.fromCallable(
        () -> {
          failIfDown();
          writes += transaction.writes().size();
          CommitResult result = state.commit(transaction);
          if (responseLost.getAsBoolean()) {
            throw new PlatformException(PlatformException.Effect.UNKNOWN, "response lost");
          }
          return result;
        });
  }

  @Override
  public Single<Optional<Row>> read(RowKey key) {
    return Single.fromCallable(
        () -> {
          failIfDown();
          reads++;
          return state.read(key);
        });
  }

  @Override
  public Single<RowPage> scan(String table, String prefix, String after, int limit) {
    return Single.fromCallable(
        () -> {
          failIfDown();
          reads++;
          return state.scanPage(table, prefix, after, limit);
        });
  }

  private void failIfDown() {
    if (outage.getAsBoolean()) {
      throw new PlatformException(PlatformException.Effect.NONE, "outage");
    }
  }
}
