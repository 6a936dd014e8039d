package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.lease.OperationTracker;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Orders the upstreams of one data centre under its lease.
 *
 * <p>Every order is recorded before it is sent and stays recorded until its answer is known. A new
 * term first reads the records of earlier ones and sends what was recorded again, with the same
 * ids, so that an order which its predecessor sends late has no further effect. An upstream to be
 * given up is published as leaving, and stopped once it is idle or the drain time has passed. Times
 * are milliseconds of one monotonic clock. Not thread-safe.
 */
public final class OrderMachine {
  /**
   * The table of recorded orders; the key of a row is the data centre, a slash and the order id.
   */
  public static final String ORDERS = "orders";

  /** The table with one row for each data centre that lists its ordered upstreams for routing. */
  public static final String UPSTREAMS = "upstreams";

  private static final OrderAction NONE = new OrderAction.None();

  private final OrderSettings settings;
  private final String dataCentre;
  private final CapacityPlanner planner;
  private final OperationTracker operations;
  private final MarketBackoff markets;

  private Step step = Step.READ_ORDERS;
  private long term;
  private long sequence;
  private long nextPlanMillis = Long.MIN_VALUE;
  private long works;
  private boolean workOutstanding;
  private final Map<String, Order> recorded = new LinkedHashMap<>();
  private final Map<String, Order> toRecord = new LinkedHashMap<>();
  private final Map<String, Long> drainedSinceMillis = new HashMap<>();
  private final Set<String> settled = new HashSet<>();
  private final Deque<Order> toSend = new ArrayDeque<>();
  private ImmutableList<RunningUpstream> upstreams = ImmutableList.of();
  private ImmutableMap<String, Integer> unmet = ImmutableMap.of();
  private Optional<UpstreamsRow> published = Optional.empty();
  private UpstreamsRow toPublish = UpstreamsRow.EMPTY;

  private enum Step {
    READ_ORDERS,
    RESEND,
    LIST,
    RECORD,
    SEND
  }

  private OrderMachine(OrderSettings settings, String dataCentre, CapacityPlanner planner) {
    this.settings = checkNotNull(settings, "settings");
    this.dataCentre = checkNotNull(dataCentre, "dataCentre");
    this.planner = checkNotNull(planner, "planner");
    checkArgument(!dataCentre.isEmpty(), "dataCentre is empty");
    this.operations =
        OperationTracker.create(settings.requestTimeoutMillis(), settings.operationBackoff());
    this.markets = MarketBackoff.create(settings.marketBackoff());
  }

  /** Returns a machine that knows nothing yet. */
  public static OrderMachine create(
      OrderSettings settings, String dataCentre, CapacityPlanner planner) {
    return new OrderMachine(settings, dataCentre, planner);
  }

  /** Returns the duty whose lease covers the orders of a data centre. */
  public static String duty(String dataCentre) {
    return "orders/" + dataCentre;
  }

  /** Returns how many upstreams of each service were missing in the last plan. */
  public ImmutableMap<String, Integer> unmet() {
    return unmet;
  }

  /** Returns whether no order waits for its answer, so that the lease may be released. */
  public boolean idle() {
    return toSend.isEmpty() && operations.idle();
  }

  /**
   * Returns the next action.
   *
   * @param guard the permission to act, if the lease is held
   * @param input asked when a plan is due
   */
  public OrderAction poll(long nowMillis, Optional<LeaseGuard> guard, Supplier<PlanInput> input) {
    operations.expire(nowMillis);
    if (guard.isEmpty() || !operations.ready(nowMillis)) {
      return NONE;
    }
    if (guard.get().fencingNumber() != term) {
      begin(guard.get().fencingNumber());
    }
    if (workOutstanding) {
      return NONE;
    }
    return switch (step) {
      case READ_ORDERS -> scan(nowMillis);
      case RESEND, SEND -> send(nowMillis, guard.get());
      case LIST -> list(nowMillis);
      case RECORD -> record(nowMillis, input.get());
    };
  }

  /** Passes on the rows of an {@link OrderAction.Scan}. */
  public void onScan(long operation, ImmutableList<Row> rows) {
    if (!operations.accept(operation)) {
      return;
    }
    for (Row row : rows) {
      String id = row.key().substring(prefix().length());
      recorded.put(id, Order.parse(id, row.value()));
    }
    recorded.values().stream()
        .filter(order -> order.action() != Order.Action.DRAIN)
        .forEach(toSend::add);
    step = toSend.isEmpty() ? Step.LIST : Step.RESEND;
  }

  /** Passes on the upstreams of an {@link OrderAction.List}. */
  public void onList(long operation, long nowMillis, ImmutableList<RunningUpstream> listed) {
    if (!operations.accept(operation)) {
      return;
    }
    upstreams = listed;
    for (RunningUpstream upstream : listed) {
      if (upstream.state() == RunningUpstream.State.RECLAIMING) {
        markets.onRefused(upstream.service(), Market.RECLAIMABLE, nowMillis);
      }
    }
    step = Step.RECORD;
  }

  /**
   * Passes on whether an {@link OrderAction.Work} was applied; there is no timeout, since the lease
   * settles the outcome.
   */
  public void onWork(long operation, boolean committed) {
    if (!workOutstanding || operation != works) {
      return;
    }
    workOutstanding = false;
    if (!committed) {
      begin(term);
      return;
    }
    settled.forEach(recorded::remove);
    settled.clear();
    recorded.putAll(toRecord);
    published = Optional.of(toPublish);
    toRecord.values().stream()
        .filter(order -> order.action() != Order.Action.DRAIN)
        .forEach(toSend::add);
    toRecord.clear();
    step = toSend.isEmpty() ? Step.LIST : Step.SEND;
  }

  /** Passes on the answer to an {@link OrderAction.Send}. */
  public void onSent(long operation, long nowMillis, OrderOutcome outcome) {
    if (!operations.accept(operation)) {
      return;
    }
    if (outcome == OrderOutcome.STALE_FENCING_NUMBER) {
      begin(term);
      return;
    }
    Order order = toSend.remove();
    settled.add(order.id());
    if (outcome == OrderOutcome.NO_CAPACITY) {
      markets.onRefused(order.service(), order.market(), nowMillis);
      nextPlanMillis = nowMillis;
    } else if (order.action() == Order.Action.START) {
      markets.onStarted(order.service(), order.market());
    }
    step = toSend.isEmpty() ? Step.LIST : step;
  }

  /** Tells that an action's outcome is unknown or that it was refused for now. */
  public void onFailure(long operation, long nowMillis, long retryAfterMillis) {
    operations.fail(operation, nowMillis, retryAfterMillis);
  }

  private void begin(long newTerm) {
    term = newTerm;
    workOutstanding = false;
    step = Step.READ_ORDERS;
    recorded.clear();
    toRecord.clear();
    settled.clear();
    toSend.clear();
    published = Optional.empty();
    nextPlanMillis = Long.MIN_VALUE;
  }

  private OrderAction scan(long nowMillis) {
    return new OrderAction.Scan(operations.begin(nowMillis), ORDERS, prefix());
  }

  private OrderAction list(long nowMillis) {
    if (nowMillis < nextPlanMillis) {
      return NONE;
    }
    nextPlanMillis = nowMillis + settings.planMillis();
    return new OrderAction.List(operations.begin(nowMillis));
  }

  private OrderAction send(long nowMillis, LeaseGuard guard) {
    return new OrderAction.Send(operations.begin(nowMillis), toSend.element(), guard);
  }

  private OrderAction record(long nowMillis, PlanInput input) {
    toRecord.clear();
    advanceDrains(nowMillis, input);
    ImmutableMap.Builder<String, Integer> missing = ImmutableMap.builder();
    for (ServiceNeed need : input.needs()) {
      missing.put(need.service(), plan(need, nowMillis));
    }
    unmet = missing.buildOrThrow();
    toPublish = UpstreamsRow.of(upstreams, this::leaving);
    boolean changed = !published.equals(Optional.of(toPublish));
    if (toRecord.isEmpty() && settled.isEmpty() && !changed) {
      step = Step.LIST;
      return NONE;
    }
    works++;
    workOutstanding = true;
    return new OrderAction.Work(works, transaction());
  }

  private Transaction transaction() {
    Transaction.Builder transaction = Transaction.builder();
    settled.forEach(id -> transaction.delete(key(id)));
    toRecord.forEach((id, order) -> transaction.put(key(id), order.toJson(term)));
    return transaction.put(RowKey.of(UPSTREAMS, dataCentre), toPublish.toJson()).build();
  }

  private void advanceDrains(long nowMillis, PlanInput input) {
    for (Order order : recorded.values()) {
      if (order.action() != Order.Action.DRAIN || settled.contains(order.id())) {
        continue;
      }
      long sinceMillis =
          drainedSinceMillis.computeIfAbsent(order.upstreamId(), unused -> nowMillis);
      boolean over = nowMillis - sinceMillis >= settings.drainMillis();
      // The mark has to reach the routers before an idle upstream stays idle.
      boolean marked = nowMillis - sinceMillis >= 2 * settings.planMillis();
      if (!listed(order.upstreamId())) {
        settled.add(order.id());
        drainedSinceMillis.remove(order.upstreamId());
      } else if (over || (marked && input.idle().test(order.upstreamId()))) {
        toRecord.put(order.id(), order.toStop());
      }
    }
  }

  private int plan(ServiceNeed need, long nowMillis) {
    ImmutableList<RunningUpstream> usable =
        upstreams.stream()
            .filter(each -> each.service().equals(need.service()) && !leaving(each))
            .collect(toImmutableList());
    CapacityPlanner.Plan plan =
        planner.plan(need, usable, market -> markets.open(need.service(), market, nowMillis));
    start(need.service(), Market.ON_DEMAND, plan.startOnDemand());
    start(need.service(), Market.RECLAIMABLE, plan.startReclaimable());
    for (RunningUpstream upstream : plan.stop()) {
      String id = nextId();
      toRecord.put(
          id, new Order(id, Order.Action.DRAIN, need.service(), upstream.market(), upstream.id()));
    }
    return plan.unmet();
  }

  private void start(String service, Market market, int count) {
    for (int i = 0; i < count; i++) {
      String id = nextId();
      toRecord.put(id, new Order(id, Order.Action.START, service, market, ""));
    }
  }

  private boolean leaving(RunningUpstream upstream) {
    return !upstream.counts()
        || drained(recorded, upstream.id())
        || drained(toRecord, upstream.id());
  }

  private static boolean drained(Map<String, Order> orders, String upstreamId) {
    return orders.values().stream().anyMatch(order -> order.upstreamId().equals(upstreamId));
  }

  private boolean listed(String upstreamId) {
    return upstreams.stream().anyMatch(each -> each.id().equals(upstreamId));
  }

  private String nextId() {
    sequence++;
    return dataCentre + '-' + term + '-' + sequence;
  }

  private String prefix() {
    return dataCentre + '/';
  }

  private RowKey key(String id) {
    return RowKey.of(ORDERS, prefix() + id);
  }
}
