package io.briarward.node.weights;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.RowPage;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import io.briarward.core.weights.AnnouncedVersion;
import io.briarward.core.weights.SwapOrder;
import io.briarward.core.weights.SwapSettings;
import io.briarward.core.weights.WeightAnnouncement;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SwapLoopTest {
  private static final String SERVICE = "llm";

  private final TestScheduler scheduler = new TestScheduler();
  private final TableState tables = TableState.create();
  private final FakeControl control = new FakeControl();
  private OptionalLong fencingNumber = OptionalLong.of(3);

  /** Simulates samplers that load an ordered version at once. */
  private static final class FakeControl implements SamplerControl {
    private final Map<String, Long> versions = new HashMap<>();
    private final List<SwapOrder> orders = new ArrayList<>();

    @Override
    public Single<LoadReport> readLoadReport(Upstream sampler) {
      long version = versions.getOrDefault(sampler.id(), 1L);
      return Single.just(new LoadReport(version, OptionalLong.empty(), 0));
    }

    @Override
    public Completable orderSwap(
        Upstream sampler, SwapOrder order, String service, Optional<Upstream> source) {
      return Completable.fromAction(
          () -> {
            orders.add(order);
            versions.put(sampler.id(), order.version());
          });
    }
  }

  /** A table service backed by a table in memory. */
  private record MemoryTables(TableState state) implements TableService {
    @Override
    public Single<CommitResult> commit(Transaction transaction) {
      return Single.just(state.commit(transaction));
    }

    @Override
    public Single<Optional<Row>> read(RowKey key) {
      return Single.just(state.read(key));
    }

    @Override
    public Single<RowPage> scan(String table, String prefix, String after, int limit) {
      return Single.just(state.scanPage(table, prefix, after, limit));
    }
  }

  private SwapLoop start() {
    ImmutableMap.Builder<String, Upstream> samplers = ImmutableMap.builder();
    for (String id : new String[] {"a", "b", "c"}) {
      samplers.put(id, new Upstream(id, "dc", "127.0.0.1", 1, false, true, 8));
    }
    ImmutableMap<String, Upstream> present = samplers.buildOrThrow();
    return SwapLoop.start(
        SERVICE,
        () -> present,
        control,
        new MemoryTables(tables),
        service -> fencingNumber,
        scheduler,
        SwapSettings.of(1));
  }

  private void announce(long version) {
    Optional<Row> row = tables.read(AnnouncedVersion.key(SERVICE));
    WeightAnnouncement next = new WeightAnnouncement(SERVICE, version);
    tables.commit(AnnouncedVersion.fromRow(row).announce(next, 0).orElseThrow());
  }

  @Test
  void announcedVersionReachesEverySampler() {
    final SwapLoop loop = start();
    announce(2);
    scheduler.advanceTimeBy(10, TimeUnit.SECONDS);

    assertThat(control.versions).containsExactly("a", 2L, "b", 2L, "c", 2L);
    assertThat(control.orders.stream().allMatch(order -> order.fencingNumber() == 3)).isTrue();
    assertThat(loop.reportedVersion("a")).hasValue(2L);
  }

  @Test
  void nodeWithoutTheLeaseOrdersNothing() {
    fencingNumber = OptionalLong.empty();
    start();
    announce(2);
    scheduler.advanceTimeBy(10, TimeUnit.SECONDS);

    assertThat(control.orders).isEmpty();
  }

  @Test
  void closedLoopOrdersNothing() {
    start().close();
    announce(2);
    scheduler.advanceTimeBy(10, TimeUnit.SECONDS);

    assertThat(control.orders).isEmpty();
  }
}
