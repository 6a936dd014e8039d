package io.briarward.core.capacity;

import com.google.common.collect.ImmutableList;
import io.briarward.core.lease.Backoff;
import io.briarward.core.lease.FaultyTable;
import io.briarward.core.lease.FaultyTable.Cut;
import io.briarward.core.lease.LeaseAction;
import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.lease.LeaseMachine;
import io.briarward.core.lease.LeaseSettings;
import io.briarward.core.lease.LeaseWriteSlot;
import io.briarward.core.platform.RowKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/** Simulates processes that order the upstreams of one data centre, in virtual time. */
final class OrderSimulation {
  static final int MAX_UPSTREAMS = 12;
  static final int MAX_CONCURRENT = 10;
  private static final long STEP_MILLIS = 50;
  private static final long START_MILLIS = 5_000;
  private static final long RESPONSE_MILLIS = 100;
  private static final LeaseSettings LEASE = LeaseSettings.defaults();
  private static final OrderSettings SETTINGS =
      new OrderSettings(1_000, 10_000, 2_000, new Backoff(250, 2_000), new Backoff(2_000, 10_000));
  private static final String DATA_CENTRE = "nadi";

  final FaultyTable table;
  final Map<String, String> upstreamByOrder = new HashMap<>();
  final Map<String, ListedUpstream> upstreams = new LinkedHashMap<>();
  final Map<String, Long> startedAtMillis = new HashMap<>();
  double demand = 40;
  int staleOrders;
  int unrecordedOrders;
  int maxUsable;
  long nowMillis;
  private long highestFencingNumber;
  private boolean noReclaimable;
  private final Random random;
  private final List<Process> processes = new ArrayList<>();

  /** A fault that is active for a period, in one process or in the whole simulation. */
  record Fault(FaultKind kind, long atMillis, long durationMillis, int process) {}

  /** The kind of a fault. */
  enum FaultKind {
    KILL,
    FREEZE,
    CUT_STORE_REQUESTS,
    CUT_STORE_ANSWERS,
    CUT_ORDERS,
    STORE_OUTAGE,
    STORE_MESSAGE_LOSS,
    RECLAIM_ALL,
    NO_RECLAIMABLE,
    DEMAND_DOUBLED
  }

  OrderSimulation(long seed, int count) {
    this.random = new Random(seed);
    this.table = new FaultyTable(random);
    for (int i = 0; i < count; i++) {
      processes.add(new Process(i));
    }
  }

  void run(List<Fault> faults, long untilMillis) {
    while (nowMillis < untilMillis) {
      nowMillis += STEP_MILLIS;
      table.advanceTo(nowMillis);
      table.setOut(isActive(faults, FaultKind.STORE_OUTAGE, -1));
      table.setLoss(isActive(faults, FaultKind.STORE_MESSAGE_LOSS, -1) ? 0.3 : 0.01);
      noReclaimable = isActive(faults, FaultKind.NO_RECLAIMABLE, -1);
      demand = isActive(faults, FaultKind.DEMAND_DOUBLED, -1) ? 80 : 40;
      advanceUpstreams(isActive(faults, FaultKind.RECLAIM_ALL, -1));
      for (Process process : processes) {
        process.step(faults);
      }
      maxUsable = Math.max(maxUsable, usable());
    }
  }

  /**
   * Returns the number of upstreams that are starting or running without an order to drain or stop.
   */
  int usable() {
    List<String> leaving =
        table.state().scan(OrderMachine.ORDERS, "", "", 1_000).stream()
            .map(row -> row.value().path("upstreamId").asText())
            .toList();
    return (int)
        upstreams.values().stream()
            .filter(each -> each.counts() && !leaving.contains(each.id()))
            .count();
  }

  private void advanceUpstreams(boolean reclaim) {
    upstreams.values().removeIf(each -> each.state() == ListedUpstream.State.RECLAIMING);
    upstreams.replaceAll(
        (id, each) -> {
          boolean started = nowMillis >= startedAtMillis.get(id) + START_MILLIS;
          if (reclaim && each.market() == Market.RECLAIMABLE) {
            return withState(each, ListedUpstream.State.RECLAIMING);
          }
          return started ? withState(each, ListedUpstream.State.RUNNING) : each;
        });
  }

  private static ListedUpstream withState(ListedUpstream each, ListedUpstream.State state) {
    return new ListedUpstream(
        each.id(),
        each.orderId(),
        each.service(),
        each.market(),
        state,
        each.host(),
        each.port(),
        each.costPerHour());
  }

  private OrderOutcome receive(Order order, long fencingNumber) {
    if (fencingNumber < highestFencingNumber) {
      staleOrders++;
    }
    highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
    if (order.action() == Order.Action.STOP) {
      upstreams.remove(order.upstreamId());
      return OrderOutcome.ACCEPTED;
    }
    if (upstreamByOrder.containsKey(order.id())) {
      return OrderOutcome.ACCEPTED;
    }
    if (noReclaimable && order.market() == Market.RECLAIMABLE) {
      return OrderOutcome.NO_CAPACITY;
    }
    String id = "u" + upstreamByOrder.size();
    upstreamByOrder.put(order.id(), id);
    startedAtMillis.put(id, nowMillis);
    upstreams.put(
        id,
        new ListedUpstream(
            id,
            order.id(),
            order.service(),
            order.market(),
            ListedUpstream.State.STARTING,
            "127.0.0.1",
            1,
            order.market() == Market.ON_DEMAND ? 1 : 0.3));
    return OrderOutcome.ACCEPTED;
  }

  private boolean isActive(List<Fault> faults, FaultKind kind, int process) {
    for (Fault fault : faults) {
      boolean isAffected = process < 0 || fault.process() == process;
      boolean isActive =
          nowMillis >= fault.atMillis() && nowMillis < fault.atMillis() + fault.durationMillis();
      if (isAffected && isActive && fault.kind() == kind) {
        return true;
      }
    }
    return false;
  }

  private final class Process {
    private final int index;
    private final double clockRate = random.nextBoolean() ? 0.99 : 1.01;
    private final List<Runnable> inbox = new ArrayList<>();
    private int starts;
    private boolean isDown = true;
    private Cut storeCut = Cut.NONE;
    private boolean ordersCut;
    private LeaseMachine lease;
    private OrderMachine orders;
    private LeaseWriteSlot slot;

    Process(int index) {
      this.index = index;
    }

    private long clockMillis() {
      return (long) (nowMillis * clockRate);
    }

    private void start() {
      starts++;
      inbox.clear();
      lease =
          LeaseMachine.create(LEASE, OrderMachine.duty(DATA_CENTRE), "vm" + index + '.' + starts);
      orders = OrderMachine.create(SETTINGS, DATA_CENTRE, CapacityPlanner.create(1));
      slot = LeaseWriteSlot.create();
    }

    private void step(List<Fault> faults) {
      if (isActive(faults, FaultKind.KILL, index)) {
        isDown = true;
        return;
      }
      if (isDown) {
        isDown = false;
        start();
      }
      storeCut =
          new Cut(
              isActive(faults, FaultKind.CUT_STORE_REQUESTS, index),
              isActive(faults, FaultKind.CUT_STORE_ANSWERS, index));
      ordersCut = isActive(faults, FaultKind.CUT_ORDERS, index);
      if (isActive(faults, FaultKind.FREEZE, index)) {
        return;
      }
      List<Runnable> arrived = new ArrayList<>(inbox);
      inbox.clear();
      arrived.forEach(Runnable::run);
      Optional<LeaseGuard> guard = lease.guard(clockMillis());
      act(orders.poll(clockMillis(), guard, this::input));
      act(slot.poll(lease, clockMillis()));
    }

    private PlanInput input() {
      return new PlanInput(
          ImmutableList.of(
              new ServiceNeed("recipe-llm", 1, MAX_UPSTREAMS, MAX_CONCURRENT, demand, demand, 0.5)),
          id -> random.nextBoolean());
    }

    private void act(OrderAction action) {
      if (action instanceof OrderAction.Scan scan) {
        table.scan(
            scan.table(),
            scan.prefix(),
            () -> storeCut,
            enqueue(rows -> orders.onScan(scan.operation(), rows)));
      } else if (action instanceof OrderAction.List list) {
        Consumer<ImmutableList<ListedUpstream>> answer =
            enqueue(found -> orders.onList(list.operation(), clockMillis(), found));
        exchange(RESPONSE_MILLIS, () -> ImmutableList.copyOf(upstreams.values()), answer);
      } else if (action instanceof OrderAction.Work work) {
        slot.offer(work.transaction(), committed -> orders.onWork(work.operation(), committed));
      } else if (action instanceof OrderAction.Send send) {
        send(send);
      }
    }

    private void act(LeaseAction action) {
      LeaseMachine target = lease;
      if (action instanceof LeaseAction.Read read) {
        table.read(
            read.row(),
            () -> storeCut,
            enqueue(row -> slot.settle(target.onRead(read.operation(), clockMillis(), row))));
      } else if (action instanceof LeaseAction.Commit commit) {
        table.commit(
            commit.transaction(),
            () -> storeCut,
            enqueue(
                result -> slot.settle(target.onCommit(commit.operation(), clockMillis(), result))));
      }
    }

    private void send(OrderAction.Send send) {
      if (!send.guard().mayStart(clockMillis())) {
        orders.onFailure(send.operation(), clockMillis(), 0);
        return;
      }
      RowKey key = RowKey.of(OrderMachine.ORDERS, DATA_CENTRE + '/' + send.order().id());
      if (table.state().read(key).isEmpty()) {
        unrecordedOrders++;
      }
      Consumer<OrderOutcome> answer =
          enqueue(outcome -> orders.onSent(send.operation(), clockMillis(), outcome));
      boolean slow = random.nextInt(5) == 0;
      exchange(
          slow ? LEASE.inFlightMillis() : RESPONSE_MILLIS,
          () -> receive(send.order(), send.guard().fencingNumber()),
          answer);
    }

    private <T> void exchange(
        long delayMillis, java.util.function.Supplier<T> operation, Consumer<T> answer) {
      table.later(
          delayMillis,
          () -> {
            if (!ordersCut) {
              T result = operation.get();
              if (random.nextInt(10) > 0) {
                answer.accept(result);
              }
            }
          });
    }

    private <T> Consumer<T> enqueue(Consumer<T> receiver) {
      int incarnation = starts;
      return value ->
          inbox.add(
              () -> {
                if (incarnation == starts) {
                  receiver.accept(value);
                }
              });
    }
  }
}
