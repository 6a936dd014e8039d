package io.briarward.node.duty;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import io.briarward.core.capacity.CapacityPlanner;
import io.briarward.core.capacity.ListedUpstream;
import io.briarward.core.capacity.Market;
import io.briarward.core.capacity.Order;
import io.briarward.core.capacity.OrderAction;
import io.briarward.core.capacity.OrderMachine;
import io.briarward.core.capacity.OrderOutcome;
import io.briarward.core.capacity.OrderSettings;
import io.briarward.core.capacity.PlanInput;
import io.briarward.node.platform.TableService;
import io.briarward.node.platform.UpstreamOrders;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The duty to order the upstreams of one data centre, as decided by an {@link OrderMachine}.
 *
 * <p>Confined to the scheduler's thread.
 */
final class OrdersDuty implements Duty {
  private final TableService tables;
  private final UpstreamOrders orders;
  private final Scheduler scheduler;
  private final String dataCentre;
  private final Supplier<PlanInput> planInput;
  private final LeaseRunner lease;
  private final OrderMachine machine;
  private int ordersInFlight;

  private OrdersDuty(
      TableService tables,
      UpstreamOrders orders,
      Scheduler scheduler,
      String dataCentre,
      Supplier<PlanInput> planInput,
      LeaseRunner lease) {
    this.tables = checkNotNull(tables, "tables");
    this.orders = checkNotNull(orders, "orders");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.dataCentre = checkNotNull(dataCentre, "dataCentre");
    this.planInput = checkNotNull(planInput, "planInput");
    this.lease = checkNotNull(lease, "lease");
    this.machine =
        OrderMachine.create(OrderSettings.defaults(), dataCentre, CapacityPlanner.create());
  }

  static OrdersDuty create(
      TableService tables,
      UpstreamOrders orders,
      Scheduler scheduler,
      String dataCentre,
      Supplier<PlanInput> planInput,
      String incarnation) {
    LeaseRunner lease =
        LeaseRunner.create(tables, scheduler, OrderMachine.duty(dataCentre), incarnation);
    return new OrdersDuty(tables, orders, scheduler, dataCentre, planInput, lease);
  }

  @Override
  public String name() {
    return OrderMachine.duty(dataCentre);
  }

  @Override
  public LeaseRunner lease() {
    return lease;
  }

  @Override
  public boolean isIdle() {
    return ordersInFlight == 0;
  }

  @Override
  public void step() {
    execute(machine.poll(nowMillis(), lease.guard(), planInput));
    lease.step();
  }

  private void execute(OrderAction action) {
    if (action instanceof OrderAction.Scan scan) {
      PlatformCalls.subscribe(
          PlatformCalls.scanAll(tables, scan.table(), scan.prefix()),
          scheduler,
          rows -> machine.onScan(scan.operation(), rows),
          () -> machine.onFailure(scan.operation(), nowMillis(), 0));
    } else if (action instanceof OrderAction.List list) {
      PlatformCalls.subscribe(
          orders.list(dataCentre).map(OrdersDuty::toListedUpstreams),
          scheduler,
          upstreams -> machine.onList(list.operation(), nowMillis(), upstreams),
          () -> machine.onFailure(list.operation(), nowMillis(), 0));
    } else if (action instanceof OrderAction.Work work) {
      lease.submit(work.transaction(), committed -> machine.onWork(work.operation(), committed));
    } else if (action instanceof OrderAction.Send send) {
      send(send);
    }
  }

  private void send(OrderAction.Send send) {
    long timeoutMillis = send.guard().sendTimeoutMillis(nowMillis());
    if (timeoutMillis == 0) {
      machine.onFailure(send.operation(), nowMillis(), 0);
      return;
    }
    ordersInFlight++;
    Single<OrderOutcome> sent =
        sendOrder(send.order(), send.guard().fencingNumber())
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler)
            .observeOn(scheduler)
            .doFinally(() -> ordersInFlight--);
    PlatformCalls.subscribe(
        sent,
        scheduler,
        outcome -> onSent(send.operation(), outcome),
        () -> machine.onFailure(send.operation(), nowMillis(), 0));
  }

  private void onSent(long operation, OrderOutcome outcome) {
    if (outcome == OrderOutcome.STALE_FENCING_NUMBER) {
      lease.onStaleFencingNumber();
    }
    machine.onSent(operation, nowMillis(), outcome);
  }

  private Single<OrderOutcome> sendOrder(Order order, long fencingNumber) {
    if (order.action() == Order.Action.START) {
      return orders.start(
          new UpstreamOrders.StartOrder(
              order.id(),
              dataCentre,
              order.service(),
              UpstreamOrders.Market.valueOf(order.market().name()),
              fencingNumber));
    }
    return orders.stop(
        new UpstreamOrders.StopOrder(order.id(), dataCentre, order.upstreamId(), fencingNumber));
  }

  private static ImmutableList<ListedUpstream> toListedUpstreams(
      ImmutableList<UpstreamOrders.OrderedUpstream> listed) {
    return listed.stream().map(OrdersDuty::toListedUpstream).collect(toImmutableList());
  }

  private static ListedUpstream toListedUpstream(UpstreamOrders.OrderedUpstream listed) {
    return new ListedUpstream(
        listed.id(),
        listed.orderId(),
        listed.service(),
        Market.valueOf(listed.market().name()),
        ListedUpstream.State.valueOf(listed.state().name()),
        listed.host(),
        listed.port(),
        listed.costPerHour());
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
