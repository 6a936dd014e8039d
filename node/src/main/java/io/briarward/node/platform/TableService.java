package io.briarward.node.platform;

import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** The platform's transactional table service. */
public interface TableService {
  /**
   * Commits a transaction.
   *
   * <p>Fails with a {@link PlatformException} whose effect is unknown when the answer was lost.
   */
  Single<CommitResult> commit(Transaction transaction);

  /** Reads a row as of a moment after the call. */
  Single<Optional<Row>> read(RowKey key);

  /** Reads up to {@code limit} rows with the prefix that come after the key {@code after}. */
  Single<ImmutableList<Row>> scan(String table, String prefix, String after, int limit);
}
