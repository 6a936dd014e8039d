package io.briarward.node.duty;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.capacity.OrderMachine;
import io.briarward.core.capacity.OrderOutcome;
import io.briarward.core.capacity.PlanInput;
import io.briarward.core.capacity.ServiceNeed;
import io.briarward.node.platform.UpstreamOrders;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class OrdersDutyTest {
  private static final long STEP_INTERVAL_MILLIS = 50;

  private final TestScheduler scheduler = new TestScheduler();
  private final FakeTableService tables = new FakeTableService();
  private final FakeOrders orders = new FakeOrders();
  private final OrdersDuty duty =
      OrdersDuty.create(tables, orders, scheduler, "nadi", this::createPlanInput, "vm1.a");
  private int minUpstreams = 2;

  @Test
  void startsMinimumNumberOfUpstreams() {
    run(10_000);

    assertThat(orders.started).hasSize(2);
  }

  @Test
  void removesRecordedOrderOnceAnswered() {
    run(20_000);

    assertThat(tables.state().scan(OrderMachine.ORDERS, "", "", 10)).isEmpty();
  }

  @Test
  void sendsNoOrdersDuringStoreOutage() {
    tables.setOut(true);

    run(20_000);

    assertThat(orders.started).isEmpty();
  }

  @Test
  void publishesSurplusUpstreamAsLeavingBeforeStoppingIt() {
    run(10_000);
    minUpstreams = 1;

    run(2_500);
    String published = tables.state().scan(OrderMachine.UPSTREAMS, "", "", 10).toString();
    assertThat(published).contains("\"leaving\":true");
    assertThat(orders.stopped).isEmpty();

    run(20_000);
    assertThat(orders.stopped).hasSize(1);
  }

  private PlanInput createPlanInput() {
    return new PlanInput(
        ImmutableList.of(new ServiceNeed("recipe-llm", minUpstreams, 5, 8, 0, 0, 0)), id -> true);
  }

  private void run(long durationMillis) {
    for (long i = 0; i < durationMillis; i += STEP_INTERVAL_MILLIS) {
      duty.step();
      scheduler.advanceTimeBy(STEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static final class FakeOrders implements UpstreamOrders {
    private final List<StartOrder> started = new ArrayList<>();
    private final List<StopOrder> stopped = new ArrayList<>();

    @Override
    public Single<OrderOutcome> start(StartOrder order) {
      started.add(order);
      return Single.just(OrderOutcome.ACCEPTED);
    }

    @Override
    public Single<OrderOutcome> stop(StopOrder order) {
      stopped.add(order);
      return Single.just(OrderOutcome.ACCEPTED);
    }

    @Override
    public Single<ImmutableList<OrderedUpstream>> list(String dataCentre) {
      return Single.just(
          started.stream()
              .filter(
                  startOrder ->
                      stopped.stream().noneMatch(stopOrder -> stops(stopOrder, startOrder)))
              .map(FakeOrders::toListed)
              .collect(ImmutableList.toImmutableList()));
    }

    private static boolean stops(StopOrder stopOrder, StartOrder start) {
      return stopOrder.upstreamId().equals("u-" + start.orderId());
    }

    private static OrderedUpstream toListed(StartOrder order) {
      return new OrderedUpstream(
          "u-" + order.orderId(),
          order.orderId(),
          order.dataCentre(),
          order.service(),
          order.market(),
          "127.0.0.1",
          1,
          State.RUNNING,
          Optional.empty(),
          1);
    }
  }
}
