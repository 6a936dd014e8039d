package io.briarward.node.duty;

import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.Row;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Helpers for calls to the platform whose results are passed to a state machine. */
public final class PlatformCalls {
  private static final int DEFAULT_PAGE_ROWS = 500;

  private PlatformCalls() {}

  /**
   * Subscribes to a call and runs one of the callbacks on the scheduler's thread.
   *
   * @param onAnswer called with the result if the call succeeds
   * @param onFailure called if the call fails, after the error was logged
   */
  public static <T> void subscribe(
      Single<T> call, Scheduler scheduler, Consumer<T> onAnswer, Runnable onFailure) {
    var unused =
        call.observeOn(scheduler)
            .subscribe(
                onAnswer::accept,
                error -> {
                  Logger.debug("platform call failed: {}", error.toString());
                  onFailure.run();
                });
  }

  /** Reads all rows whose keys start with the prefix, in pages of {@value #DEFAULT_PAGE_ROWS}. */
  public static Single<ImmutableList<Row>> scanAll(
      TableService tables, String table, String prefix) {
    return scanAll(tables, table, prefix, DEFAULT_PAGE_ROWS);
  }

  /**
   * Reads all rows whose keys start with the prefix.
   *
   * @param pageRows the maximum number of rows per call, chosen to suit the size of their values
   */
  public static Single<ImmutableList<Row>> scanAll(
      TableService tables, String table, String prefix, int pageRows) {
    return scanRemaining(tables, table, prefix, pageRows, "", ImmutableList.of());
  }

  private static Single<ImmutableList<Row>> scanRemaining(
      TableService tables,
      String table,
      String prefix,
      int pageRows,
      String afterKey,
      ImmutableList<Row> previousRows) {
    return tables
        .scan(table, prefix, afterKey, pageRows)
        .flatMap(
            page -> {
              ImmutableList<Row> rows =
                  ImmutableList.<Row>builder().addAll(previousRows).addAll(page.rows()).build();
              return page.nextAfter()
                  .map(last -> scanRemaining(tables, table, prefix, pageRows, last, rows))
                  .orElseGet(() -> Single.just(rows));
            });
  }
}
