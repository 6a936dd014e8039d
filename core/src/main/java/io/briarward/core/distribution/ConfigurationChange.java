package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.configuration.Configuration;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.Transaction;
import java.util.Optional;

/**
 * Commits the successor of a configuration version by compare-and-set on the head row.
 *
 * <p>The transaction requires the head row's version, so at most one of several changes based on
 * the same version is applied, however often each is sent. If an answer is lost, the token in the
 * log row of the new version identifies the change that was applied. Not thread-safe; the steps
 * must be executed one at a time.
 */
public final class ConfigurationChange {
  private static final int MAX_FAILURES = 5;

  private final ConfigurationDocument base;
  private final ConfigurationDocument next;
  private final ConfigurationDelta delta;
  private final String token;
  private Optional<Transaction> sent = Optional.empty();
  private int failures;

  private ConfigurationChange(
      ConfigurationDocument base, Configuration configuration, String token) {
    this.base = base;
    this.delta = base.deltaTo(configuration);
    this.next = ConfigurationDocument.of(delta.version(), configuration);
    this.token = token;
  }

  /**
   * Creates a change from {@code base} to {@code next}.
   *
   * @param token unique to this change
   */
  public static ConfigurationChange create(
      ConfigurationDocument base, Configuration next, String token) {
    checkNotNull(base, "base");
    checkNotNull(next, "next");
    checkNotNull(token, "token");
    return new ConfigurationChange(base, next, token);
  }

  /** Returns the first step. */
  public ChangeStep start() {
    return new ChangeStep.Read(StoreLayout.HEAD);
  }

  /** Handles the row that was read, empty if it does not exist, and returns the next step. */
  public ChangeStep onRow(Optional<Row> row) {
    return sent.isEmpty() ? onHead(row) : onLogRow(row);
  }

  /** Handles the result of the transaction and returns the next step. */
  public ChangeStep onCommit(CommitResult result) {
    // After a lost answer, the conflict may be with this change's own earlier attempt.
    return result.committed()
        ? accepted()
        : new ChangeStep.Read(StoreLayout.logRow(next.version()));
  }

  /** Records that the last step was not answered, and returns the next step. */
  public ChangeStep onFailure() {
    failures++;
    if (failures >= MAX_FAILURES) {
      return finished(
          ChangeResult.failed(
              sent.isEmpty() ? ChangeResult.Kind.NOT_SENT : ChangeResult.Kind.UNKNOWN));
    }
    return sent.isEmpty() ? start() : new ChangeStep.Read(StoreLayout.logRow(next.version()));
  }

  private ChangeStep onHead(Optional<Row> row) {
    long found =
        row.map(present -> StoreLayout.head(present).version())
            .orElse(ConfigurationDocument.EMPTY_VERSION);
    if (found != base.version()) {
      return finished(ChangeResult.conflict(found));
    }
    long rowVersion = row.map(Row::version).orElse(Transaction.ABSENT);
    Transaction transaction = StoreLayout.acceptTransaction(base, next, delta, rowVersion, token);
    sent = Optional.of(transaction);
    return new ChangeStep.Commit(transaction);
  }

  private ChangeStep onLogRow(Optional<Row> row) {
    if (row.isEmpty()) {
      // Not applied so far. The retry is safe since the same transaction is applied at most once.
      return new ChangeStep.Commit(sent.orElseThrow());
    }
    return StoreLayout.logEntry(row.get()).token().equals(token)
        ? accepted()
        : finished(ChangeResult.conflict(next.version()));
  }

  private ChangeStep accepted() {
    return finished(ChangeResult.accepted(delta));
  }

  private static ChangeStep finished(ChangeResult result) {
    return new ChangeStep.Finished(result);
  }
}
