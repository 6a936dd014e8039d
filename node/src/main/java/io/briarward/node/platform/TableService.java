package io.briarward.node.platform;

import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.RowPage;
import io.briarward.core.platform.Transaction;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** The platform's transactional table service. */
public interface TableService {
  /**
   * Commits a transaction.
   *
   * <p>Fails with a {@link PlatformException} whose effect is {@link
   * PlatformException.Effect#UNKNOWN} if the response is lost.
   */
  Single<CommitResult> commit(Transaction transaction);

  /** Returns a row, or empty if it does not exist, as of a time after the call. */
  Single<Optional<Row>> read(RowKey key);

  /**
   * Returns the first rows whose keys start with {@code prefix} and sort after {@code after}.
   *
   * <p>A page holds up to {@code limit} rows. It may hold fewer although more rows match, so only
   * {@link RowPage#truncated} tells whether it is the last one.
   */
  Single<RowPage> scan(String table, String prefix, String after, int limit);
}
