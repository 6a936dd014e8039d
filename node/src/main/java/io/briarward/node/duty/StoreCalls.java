package io.briarward.node.duty;

import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.Row;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Calls of the platform whose answers go to a state machine. */
public final class StoreCalls {
  private static final int PAGE_ROWS = 500;

  private StoreCalls() {}

  /** Passes the answer or the failure on, on the scheduler's thread. */
  public static <T> void subscribe(
      Single<T> call, Scheduler scheduler, Consumer<T> answer, Runnable failure) {
    var unused =
        call.observeOn(scheduler)
            .subscribe(
                answer::accept,
                error -> {
                  Logger.debug("call of the platform failed: {}", error.toString());
                  failure.run();
                });
  }

  /** Reads all rows whose keys start with the prefix, page by page. */
  public static Single<ImmutableList<Row>> scanAll(
      TableService tables, String table, String prefix) {
    return scanAll(tables, table, prefix, PAGE_ROWS);
  }

  /**
   * Reads all rows whose keys start with the prefix, in pages of a size that suits their values.
   */
  public static Single<ImmutableList<Row>> scanAll(
      TableService tables, String table, String prefix, int pageRows) {
    return scanAfter(tables, table, prefix, pageRows, "", ImmutableList.of());
  }

  private static Single<ImmutableList<Row>> scanAfter(
      TableService tables,
      String table,
      String prefix,
      int pageRows,
      String after,
      ImmutableList<Row> before) {
    return tables
        .scan(table, prefix, after, pageRows)
        .flatMap(
            page -> {
              ImmutableList<Row> rows =
                  ImmutableList.<Row>builder().addAll(before).addAll(page).build();
              if (page.size() < pageRows) {
                return Single.just(rows);
              }
              String last = page.get(page.size() - 1).key();
              return scanAfter(tables, table, prefix, pageRows, last, rows);
            });
  }
}
