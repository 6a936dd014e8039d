package io.briarward.core.capacity;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.platform.Row;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class OrderMachineTest {
  private static final Order RECORDED =
      new Order("nadi-1-7", Order.Action.START, "recipe-llm", Market.ON_DEMAND, "");

  private static final ServiceNeed NEED = new ServiceNeed("recipe-llm", 1, 2, 8, 0, 0, 0);

  private final OrderMachine machine =
      OrderMachine.create(OrderSettings.defaults(), "nadi", CapacityPlanner.create());

  @Test
  void recordedOrderIsResentWithItsIdFirst() {
    readRecordedOrder();

    assertThat(((OrderAction.Send) poll(1)).order()).isEqualTo(RECORDED);
  }

  @Test
  void orderWithUnknownOutcomeIsResent() {
    readRecordedOrder();
    OrderAction.Send send = (OrderAction.Send) poll(1);
    machine.onFailure(send.operation(), 2, 0);

    OrderAction again = poll(2 + OrderSettings.defaults().operationBackoff().maxMillis());

    assertThat(((OrderAction.Send) again).order()).isEqualTo(RECORDED);
  }

  @Test
  void rejectedWorkIsNotSentAndOrdersAreReadAgain() {
    OrderAction.Scan scan = (OrderAction.Scan) poll(0);
    machine.onScan(scan.operation(), ImmutableList.of());
    OrderAction.List list = (OrderAction.List) poll(1);
    machine.onList(list.operation(), 2, ImmutableList.of());
    OrderAction.Work work = (OrderAction.Work) poll(3);

    machine.onWork(work.operation(), false);

    assertThat(poll(4)).isInstanceOf(OrderAction.Scan.class);
  }

  private void readRecordedOrder() {
    OrderAction.Scan scan = (OrderAction.Scan) poll(0);
    Row row = new Row("nadi/" + RECORDED.id(), 1, RECORDED.toJson(1));
    machine.onScan(scan.operation(), ImmutableList.of(row));
  }

  private OrderAction poll(long nowMillis) {
    LeaseGuard guard = new LeaseGuard("orders/nadi", 2, 100_000, 0);
    return machine.poll(
        nowMillis, Optional.of(guard), () -> new PlanInput(ImmutableList.of(NEED), id -> true));
  }
}
