package io.briarward.node.serving;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.briarward.core.capacity.OrderMachine;
import io.briarward.core.capacity.UpstreamsRow;
import io.briarward.core.configuration.CapacityTarget;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.platform.Row;
import io.briarward.node.NodeContext;
import io.briarward.node.duty.PlatformCalls;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Polls the table service for the ordered upstreams that requests may be sent to.
 *
 * <p>While the table service does not respond, the last list that was read remains in use.
 */
public final class OrderedUpstreams implements AutoCloseable {
  private static final long POLL_INTERVAL_MILLIS = 2_000;
  private static final int DEFAULT_MAX_CONCURRENT = 16;

  private final NodeContext context;
  private final Serving serving;
  private Disposable polling = Disposable.disposed();
  private ImmutableList<Row> lastRows = ImmutableList.of();

  private OrderedUpstreams(NodeContext context, Serving serving) {
    this.context = context;
    this.serving = serving;
  }

  /** Starts to poll and to pass the ordered upstreams to {@code serving}. */
  public static OrderedUpstreams start(NodeContext context, Serving serving) {
    OrderedUpstreams ordered = new OrderedUpstreams(context, serving);
    ordered.polling =
        Flowable.interval(0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS, context.scheduler())
            .onBackpressureDrop()
            .concatMapMaybe(unused -> ordered.read(), 1)
            .observeOn(context.scheduler())
            .subscribe(ordered::onRows);
    return ordered;
  }

  @Override
  public void close() {
    polling.dispose();
  }

  private Maybe<ImmutableList<Row>> read() {
    return PlatformCalls.scanAll(context.tables(), OrderMachine.UPSTREAMS, "")
        .toMaybe()
        .doOnError(
            error -> Logger.debug("failed to read the ordered upstreams: {}", error.getMessage()))
        .onErrorComplete();
  }

  private void onRows(ImmutableList<Row> rows) {
    if (rows.equals(lastRows)) {
      return;
    }
    lastRows = rows;
    Configuration configuration = context.configuration().current().configuration();
    ImmutableListMultimap.Builder<String, Upstream> byService = ImmutableListMultimap.builder();
    for (Row row : rows) {
      for (UpstreamsRow.Entry entry : UpstreamsRow.parse(row.value()).entries()) {
        if (!entry.leaving()) {
          byService.put(entry.service(), upstream(entry, row.key(), configuration));
        }
      }
    }
    serving.setOrderedUpstreams(byService.build());
  }

  private static Upstream upstream(
      UpstreamsRow.Entry entry, String dataCentre, Configuration configuration) {
    int maxConcurrent =
        configuration.capacityTargets().stream()
            .filter(target -> target.dataCentre().equals(dataCentre))
            .filter(target -> target.service().equals(entry.service()))
            .mapToInt(CapacityTarget::maxConcurrent)
            .findFirst()
            .orElse(DEFAULT_MAX_CONCURRENT);
    return new Upstream(
        entry.id(),
        dataCentre,
        entry.host(),
        entry.port(),
        entry.reclaimable(),
        false,
        maxConcurrent);
  }
}
