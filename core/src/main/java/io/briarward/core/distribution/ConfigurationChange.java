package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.configuration.Configuration;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.Transaction;
import java.util.Optional;

/**
 * Accepts the version after the one it is based on, by compare-and-set on the head row.
 *
 * <p>The transaction holds on to the head row's version, so that of several changes based on the
 * same version one at most is applied, however often each is sent. When an answer is lost, the log
 * row of the wanted version tells by its token whose change was applied. Not thread-safe; the steps
 * are taken one after another.
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
   * Returns a change from {@code base} to {@code next}.
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

  /** Takes the row that was asked for, empty when it does not exist, and returns the next step. */
  public ChangeStep onRow(Optional<Row> row) {
    return sent.isEmpty() ? onHead(row) : onLogRow(row);
  }

  /** Takes the answer to the transaction and returns the next step. */
  public ChangeStep onCommit(CommitResult result) {
    // After a lost answer, a conflict may be with this change's own first transaction.
    return result.committed()
        ? accepted()
        : new ChangeStep.Read(StoreLayout.logRow(next.version()));
  }

  /** Notes that the last step had no answer, and returns the next step. */
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
    Transaction transaction = StoreLayout.accept(base, next, delta, rowVersion, token);
    sent = Optional.of(transaction);
    return new ChangeStep.Commit(transaction);
  }

  private ChangeStep onLogRow(Optional<Row> row) {
    if (row.isEmpty()) {
      // Not applied so far: the same transaction can take effect once at most.
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
