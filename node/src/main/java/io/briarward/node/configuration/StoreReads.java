package io.briarward.node.configuration;

import com.google.common.collect.ImmutableList;
import io.briarward.core.distribution.StoreLayout;
import io.briarward.core.distribution.StoreRead;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowPage;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** Executes {@link StoreRead}s of the configuration's rows in the table service. */
final class StoreReads {
  private final TableService tables;

  StoreReads(TableService tables) {
    this.tables = tables;
  }

  Single<ImmutableList<Row>> run(StoreRead read) {
    return switch (read.kind()) {
      case HEAD -> tables.read(StoreLayout.HEAD).map(StoreReads::toList);
      case LOG ->
          tables
              .scan(
                  StoreLayout.LOG_TABLE,
                  "",
                  StoreLayout.key(read.version()),
                  StoreRead.MAX_LOG_ROWS)
              .map(RowPage::rows);
      case SNAPSHOT -> tables.read(StoreLayout.snapshotRow(read.version())).map(StoreReads::toList);
    };
  }

  private static ImmutableList<Row> toList(Optional<Row> row) {
    return row.map(ImmutableList::of).orElse(ImmutableList.of());
  }
}
