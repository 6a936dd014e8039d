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
 * A state machine that orders the upstreams of one data centre under its lease.
 *
 * <p>Every order is recorded before it is sent and stays recorded until its outcome is known. A new
 * lease term first reads the recorded orders of earlier terms and sends them again with the same
 * ids, so that a late duplicate from the previous lease holder has no further effect. An upstream
 * to be stopped is published as leaving, and stopped once it is idle or the drain timeout has
 * expired. Times are milliseconds on one monotonic clock. Not thread-safe.
 */
public final class OrderMachine {
  /**
   * The table of recorded orders. The key of a row is the data centre, a slash and the order id.
   */
  public static final String ORDERS = "orders";

  /** The table with one row per data centre, which lists its ordered upstreams for routing. */
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
  private long lastWork;
  private boolean workInFlight;
  private final Map<String, Order> recorded = new LinkedHashMap<>();
  private final Map<String, Order> toRecord = new LinkedHashMap<>();
  private final Map<String, Long> drainStartMillis = new HashMap<>();
  private final Set<String> settled = new HashSet<>();
  private final Deque<Order> toSend = new ArrayDeque<>();
  private ImmutableList<ListedUpstream> upstreams = ImmutableList.of();
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

  /** Creates a machine that starts by reading the recorded orders. */
  public static OrderMachine create(
      OrderSettings settings, String dataCentre, CapacityPlanner planner) {
    return new OrderMachine(settings, dataCentre, planner);
  }

  /** Returns the name of the duty whose lease covers the orders of a data centre. */
  public static String duty(String dataCentre) {
    return "orders/" + dataCentre;
  }

  /** Returns the number of upstreams of each service that the last plan could not order. */
  public ImmutableMap<String, Integer> unmet() {
    return unmet;
  }

  /**
   * Returns whether no order waits to be sent and no operation is in flight, so that the lease may
   * be released; recorded drains may remain.
   */
  public boolean idle() {
    return toSend.isEmpty() && operations.idle();
  }

  /**
   * Returns the next action.
   *
   * @param guard the permission to act, if the lease is held
   * @param input supplies the input of a plan when one is due
   */
  public OrderAction poll(long nowMillis, Optional<LeaseGuard> guard, Supplier<PlanInput> input) {
    operations.expire(nowMillis);
    if (guard.isEmpty() || !operations.ready(nowMillis)) {
      return NONE;
    }
    if (guard.get().fencingNumber() != term) {
      begin(guard.get().fencingNumber());
    }
    if (workInFlight) {
      return NONE;
    }
    return switch (step) {
      case READ_ORDERS -> scanOrders(nowMillis);
      case RESEND, SEND -> sendNext(nowMillis, guard.get());
      case LIST -> listUpstreams(nowMillis);
      case RECORD -> recordPlan(nowMillis, input.get());
    };
  }

  /** Handles the rows read by an {@link OrderAction.Scan}. */
  public void onScan(long operation, ImmutableList<Row> rows) {
    if (!operations.accept(operation)) {
      return;
    }
    for (Row row : rows) {
      String id = row.key().substring(keyPrefix().length());
      recorded.put(id, Order.parse(id, row.value()));
    }
    recorded.values().stream()
        .filter(order -> order.action() != Order.Action.DRAIN)
        .forEach(toSend::add);
    step = toSend.isEmpty() ? Step.LIST : Step.RESEND;
  }

  /** Handles the upstreams returned for an {@link OrderAction.List}. */
  public void onList(long operation, long nowMillis, ImmutableList<ListedUpstream> listed) {
    if (!operations.accept(operation)) {
      return;
    }
    upstreams = listed;
    for (ListedUpstream upstream : listed) {
      if (upstream.state() == ListedUpstream.State.RECLAIMING) {
        markets.onUnavailable(upstream.service(), Market.RECLAIMABLE, nowMillis);
      }
    }
    step = Step.RECORD;
  }

  /**
   * Handles the outcome of an {@link OrderAction.Work}.
   *
   * <p>This operation has no timeout, since the lease determines its outcome.
   *
   * @param committed whether the transaction was committed
   */
  public void onWork(long operation, boolean committed) {
    if (!workInFlight || operation != lastWork) {
      return;
    }
    workInFlight = false;
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

  /** Handles the outcome of an {@link OrderAction.Send}. */
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
      markets.onUnavailable(order.service(), order.market(), nowMillis);
      nextPlanMillis = nowMillis;
    } else if (order.action() == Order.Action.START) {
      markets.onStarted(order.service(), order.market());
    }
    step = toSend.isEmpty() ? Step.LIST : step;
  }

  /** Handles an action that was rejected temporarily or whose outcome is unknown. */
  public void onFailure(long operation, long nowMillis, long retryAfterMillis) {
    operations.fail(operation, nowMillis, retryAfterMillis);
  }

  private void begin(long newTerm) {
    term = newTerm;
    workInFlight = false;
    step = Step.READ_ORDERS;
    recorded.clear();
    toRecord.clear();
    settled.clear();
    toSend.clear();
    published = Optional.empty();
    nextPlanMillis = Long.MIN_VALUE;
  }

  private OrderAction scanOrders(long nowMillis) {
    return new OrderAction.Scan(operations.begin(nowMillis), ORDERS, keyPrefix());
  }

  private OrderAction listUpstreams(long nowMillis) {
    if (nowMillis < nextPlanMillis) {
      return NONE;
    }
    nextPlanMillis = nowMillis + settings.planMillis();
    return new OrderAction.List(operations.begin(nowMillis));
  }

  private OrderAction sendNext(long nowMillis, LeaseGuard guard) {
    return new OrderAction.Send(operations.begin(nowMillis), toSend.element(), guard);
  }

  private OrderAction recordPlan(long nowMillis, PlanInput input) {
    toRecord.clear();
    advanceDrains(nowMillis, input);
    ImmutableMap.Builder<String, Integer> missing = ImmutableMap.builder();
    for (ServiceNeed need : input.needs()) {
      missing.put(need.service(), plan(need, nowMillis));
    }
    unmet = missing.buildOrThrow();
    toPublish = UpstreamsRow.of(upstreams, this::isLeaving);
    boolean rowChanged = !published.equals(Optional.of(toPublish));
    if (toRecord.isEmpty() && settled.isEmpty() && !rowChanged) {
      step = Step.LIST;
      return NONE;
    }
    lastWork++;
    workInFlight = true;
    return new OrderAction.Work(lastWork, transaction());
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
      long startMillis = drainStartMillis.computeIfAbsent(order.upstreamId(), unused -> nowMillis);
      boolean drainExpired = nowMillis - startMillis >= settings.drainMillis();
      // An idle upstream stays idle only after the routers have received its leaving mark.
      boolean markPropagated = nowMillis - startMillis >= 2 * settings.planMillis();
      if (!isListed(order.upstreamId())) {
        settled.add(order.id());
        drainStartMillis.remove(order.upstreamId());
      } else if (drainExpired || (markPropagated && input.idle().test(order.upstreamId()))) {
        toRecord.put(order.id(), order.toStop());
      }
    }
  }

  private int plan(ServiceNeed need, long nowMillis) {
    ImmutableList<ListedUpstream> usable =
        upstreams.stream()
            .filter(each -> each.service().equals(need.service()) && !isLeaving(each))
            .collect(toImmutableList());
    CapacityPlanner.Plan plan =
        planner.plan(need, usable, market -> markets.isOpen(need.service(), market, nowMillis));
    recordStarts(need.service(), Market.ON_DEMAND, plan.startOnDemand());
    recordStarts(need.service(), Market.RECLAIMABLE, plan.startReclaimable());
    for (ListedUpstream upstream : plan.stop()) {
      String id = nextId();
      toRecord.put(
          id, new Order(id, Order.Action.DRAIN, need.service(), upstream.market(), upstream.id()));
    }
    return plan.unmet();
  }

  private void recordStarts(String service, Market market, int count) {
    for (int i = 0; i < count; i++) {
      String id = nextId();
      toRecord.put(id, new Order(id, Order.Action.START, service, market, ""));
    }
  }

  private boolean isLeaving(ListedUpstream upstream) {
    return !upstream.counts()
        || isDraining(recorded, upstream.id())
        || isDraining(toRecord, upstream.id());
  }

  private static boolean isDraining(Map<String, Order> orders, String upstreamId) {
    return orders.values().stream().anyMatch(order -> order.upstreamId().equals(upstreamId));
  }

  private boolean isListed(String upstreamId) {
    return upstreams.stream().anyMatch(each -> each.id().equals(upstreamId));
  }

  private String nextId() {
    sequence++;
    return dataCentre + '-' + term + '-' + sequence;
  }

  private String keyPrefix() {
    return dataCentre + '/';
  }

  private RowKey key(String id) {
    return RowKey.of(ORDERS, keyPrefix() + id);
  }
}
