package io.briarward.node.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.fleet.NodeDemand;
import io.briarward.core.fleet.RelayOffer;
import io.briarward.core.fleet.SenderView;
import io.briarward.core.lease.DutyCandidates;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import io.briarward.node.platform.ChangeFeed;
import io.briarward.node.platform.ChangeFeed.Change;
import io.briarward.node.platform.TableService;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.PublishSubject;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Tracks which processes are alive, by a heartbeat row that each process renews in the store.
 *
 * <p>A process whose row has not changed for {@value #DEAD_AFTER_MILLIS} ms is presumed dead. While
 * the store does not respond, no process may be presumed dead; {@link #reliable} then returns
 * false. Confined to the event loop.
 */
public final class NodeRegistry implements AutoCloseable {
  /** The table of heartbeats, with one row per VM. */
  public static final String TABLE = "nodes";

  private static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;

  /** Equals the interval, since the next heartbeat is due then. */
  private static final long HEARTBEAT_TIMEOUT_MILLIS = 1_000;

  /** Three missed heartbeats plus the propagation time of a row. */
  private static final long DEAD_AFTER_MILLIS = 3_500;

  /**
   * The age at which the last response of the store, or the last heartbeat that it accepted from
   * this process, is too old to tell which processes are alive.
   */
  private static final long STALE_MILLIS = 2_000;

  /**
   * The age of a row above which its process is not selected for further work. A heartbeat and the
   * time until its row is read take {@value #HEARTBEAT_INTERVAL_MILLIS} and {@value
   * #WATCH_PAUSE_MILLIS} ms. After a loss of all VMs, the first read returns rows of processes that
   * are gone, and work selected for them would wait until they are presumed dead.
   */
  private static final long CANDIDATE_MAX_AGE_MILLIS = 2_000;

  /** One process still competes for a lease if two others fail together. */
  private static final int DUTY_CANDIDATES = 3;

  /** Bounds the rate of calls for changes; heartbeats written meanwhile are read in one call. */
  private static final long WATCH_PAUSE_MILLIS = 500;

  private final TableService tables;
  private final Scheduler scheduler;
  private final EventLog log;
  private final RowKey key;
  private final String incarnation;
  private final Supplier<NodeDemand> demand;
  private final Map<String, Peer> peers = new HashMap<>();
  private final SenderView senders;
  private TableWatch watch;
  private Disposable heartbeatTimer = Disposable.disposed();
  private long heartbeatCount;
  private long lastHeartbeatMillis = Long.MIN_VALUE / 2;
  private long heartbeatsSinceMillis = Long.MAX_VALUE / 2;
  private NodeDemand publishedDemand = NodeDemand.NONE;
  private Supplier<RelayOffer> relayOffer = () -> RelayOffer.NONE;
  private RelayOffer publishedOffer = RelayOffer.NONE;
  private OptionalDouble capacity = OptionalDouble.empty();
  private final PublishSubject<String> processChanges = PublishSubject.create();
  private boolean heartbeatInFlight;

  private record Peer(
      String incarnation,
      NodeDemand demand,
      RelayOffer relayOffer,
      long seenAtMillis,
      OptionalDouble capacity,
      boolean onThisVm) {}

  private NodeRegistry(
      TableService tables,
      Scheduler scheduler,
      EventLog log,
      String name,
      String incarnation,
      Supplier<NodeDemand> demand) {
    this.tables = checkNotNull(tables, "tables");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.key = RowKey.of(TABLE, name);
    this.senders = SenderView.create(name);
    this.incarnation = checkNotNull(incarnation, "incarnation");
    this.demand = checkNotNull(demand, "demand");
  }

  /** Starts a registry whose steady clock is that of the scheduler. */
  public static NodeRegistry start(
      TableService tables,
      ChangeFeed feed,
      Scheduler scheduler,
      EventLog log,
      String name,
      String incarnation,
      Supplier<NodeDemand> demand) {
    return start(
        tables,
        feed,
        scheduler,
        log,
        name,
        incarnation,
        demand,
        () -> scheduler.now(TimeUnit.MILLISECONDS));
  }

  /**
   * Starts to renew this process's row and to follow the rows of others.
   *
   * @param name the name of the VM; a new process on the same VM replaces its row
   * @param incarnation the incarnation of this process, unique among all processes
   * @param demand returns the demand of this process, which is published in its row
   * @param steadyMillis a clock that is never ahead of the time that has passed, see {@link
   *     #storeMillis}
   */
  public static NodeRegistry start(
      TableService tables,
      ChangeFeed feed,
      Scheduler scheduler,
      EventLog log,
      String name,
      String incarnation,
      Supplier<NodeDemand> demand,
      LongSupplier steadyMillis) {
    NodeRegistry registry = new NodeRegistry(tables, scheduler, log, name, incarnation, demand);
    registry.watch =
        TableWatch.start(
            feed, scheduler, log, TABLE, WATCH_PAUSE_MILLIS, steadyMillis, registry.listener());
    registry.heartbeatTimer =
        Timers.nowAndEvery(scheduler, HEARTBEAT_INTERVAL_MILLIS, registry::sendHeartbeat);
    return registry;
  }

  /**
   * Returns the incarnations presumed alive, including this process's.
   *
   * <p>An absent incarnation may be presumed dead only if {@link #reliable} returns true.
   */
  public ImmutableSet<String> alive() {
    ImmutableSet.Builder<String> alive = ImmutableSet.builder();
    alive.add(incarnation);
    others().forEach(peer -> alive.add(peer.incarnation()));
    return alive.build();
  }

  /**
   * Returns whether this process is one of those that compete for the lease of a duty.
   *
   * <p>While the others are not known, each process is one.
   */
  public boolean isDutyCandidate(String duty) {
    return !reliable()
        || DutyCandidates.choose(duty, alive(), DUTY_CANDIDATES).contains(incarnation);
  }

  /** Returns the number of incarnations presumed alive, including this process's. */
  public int aliveCount() {
    return 1 + (int) others().count();
  }

  /**
   * Returns whether an incarnation that is absent from {@link #alive} may be presumed dead.
   *
   * <p>The store may accept no heartbeats while it responds to all other calls, so it must also
   * have accepted a heartbeat from this process recently. After an outage, the other processes are
   * given {@value #DEAD_AFTER_MILLIS} ms to renew their rows.
   */
  public boolean reliable() {
    return watch.ageMillis() < STALE_MILLIS
        && nowMillis() - lastHeartbeatMillis < STALE_MILLIS
        && nowMillis() - heartbeatsSinceMillis > DEAD_AFTER_MILLIS;
  }

  /**
   * Returns the published demand of each VM, by name.
   *
   * <p>VMs whose process is presumed dead are left out, but for while {@link #reliable} returns
   * false.
   */
  public ImmutableMap<String, NodeDemand> demands() {
    long sinceMillis = reliable() ? nowMillis() - DEAD_AFTER_MILLIS : Long.MIN_VALUE;
    return peers.entrySet().stream()
        .filter(peer -> peer.getValue().seenAtMillis() > sinceMillis)
        .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, peer -> peer.getValue().demand()));
  }

  /** Returns the nodes among which the rates of cold upstreams are divided, as of now. */
  SenderView senders() {
    long rowsAtMillis = nowMillis() - watch.ageMillis();
    senders.onContact(Math.min(rowsAtMillis, lastHeartbeatMillis), reliable(), nowMillis());
    return senders;
  }

  /** Sets what this process offers to run for others, which its row contains from now on. */
  public void offerRelay(Supplier<RelayOffer> offer) {
    relayOffer = checkNotNull(offer, "offer");
  }

  /**
   * Sets the processor capacity of this VM in cores, which its row contains from now on; empty if
   * it is unknown.
   */
  public void publishCapacity(OptionalDouble cores) {
    cores.ifPresent(value -> checkArgument(value > 0, "cores is %s, expected > 0", value));
    capacity = cores;
  }

  /**
   * Returns a stream of the names of VMs on which a process was seen for the first time, or whose
   * row was removed.
   */
  public Observable<String> processChanges() {
    return processChanges;
  }

  /**
   * Returns the time until the next other process is presumed dead unless it renews its row, in
   * milliseconds; empty if there is none.
   */
  public OptionalLong millisUntilNextPresumedDead() {
    long nowMillis = nowMillis();
    return others().mapToLong(peer -> peer.seenAtMillis() + DEAD_AFTER_MILLIS - nowMillis).min();
  }

  /**
   * Returns the addresses at which other live processes accept requests of nodes for a service,
   * without those that are cut off from it.
   */
  public ImmutableList<String> relayAddresses(String service) {
    return others()
        .flatMap(peer -> peer.relayOffer().addressFor(service).stream())
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the address at which a live process accepts requests of nodes for a service; empty if
   * it is this process, offers none or is cut off from the service.
   */
  public Optional<String> relayAddress(String otherIncarnation, String service) {
    return others()
        .filter(peer -> peer.incarnation().equals(otherIncarnation))
        .flatMap(peer -> peer.relayOffer().addressFor(service).stream())
        .findFirst();
  }

  /**
   * Returns the capacities of the processes that are best placed to use a service, by incarnation.
   *
   * <p>These are the ones that are cut off from no service at all; if there are none, those that
   * reach this one; if there are none either, all. May include this process. Processes presumed
   * alive that have not renewed their rows for {@value #CANDIDATE_MAX_AGE_MILLIS} ms are left out.
   */
  public ImmutableMap<String, OptionalDouble> bestPlaced(String service) {
    ImmutableMap<String, OptionalDouble> unimpaired =
        candidates(offer -> offer.cutOffServices().isEmpty());
    ImmutableMap<String, OptionalDouble> reaching =
        unimpaired.isEmpty() ? candidates(offer -> offer.reaches(service)) : unimpaired;
    return reaching.isEmpty() ? candidates(offer -> true) : reaching;
  }

  private ImmutableMap<String, OptionalDouble> candidates(Predicate<RelayOffer> condition) {
    ImmutableMap.Builder<String, OptionalDouble> matching = ImmutableMap.builder();
    if (condition.test(relayOffer.get())) {
      matching.put(incarnation, capacity);
    }
    long sinceMillis = nowMillis() - CANDIDATE_MAX_AGE_MILLIS;
    others()
        .filter(peer -> peer.seenAtMillis() > sinceMillis)
        .filter(peer -> condition.test(peer.relayOffer()))
        .forEach(peer -> matching.put(peer.incarnation(), peer.capacity()));
    return matching.buildKeepingLast();
  }

  /** Returns the services from which other live processes are cut off. */
  public ImmutableSet<String> cutOffElsewhere() {
    return others()
        .flatMap(peer -> peer.relayOffer().cutOffServices().stream())
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns whether another live process reaches all the given services, as far as it knows. */
  public boolean reachedByOthers(ImmutableSet<String> services) {
    return others().anyMatch(peer -> services.stream().allMatch(peer.relayOffer()::reaches));
  }

  private Stream<Peer> others() {
    long sinceMillis = nowMillis() - DEAD_AFTER_MILLIS;
    return peers.values().stream()
        .filter(peer -> peer.seenAtMillis() > sinceMillis)
        .filter(peer -> !peer.onThisVm()); // This process, or the one before it, which is dead.
  }

  /**
   * Returns whether a different process now runs on the VM of the given incarnation.
   *
   * <p>A process before this one on its own VM is replaced as soon as this one runs, before its row
   * is written.
   */
  public boolean replaced(String otherIncarnation) {
    if (Incarnations.sameVm(incarnation, otherIncarnation)) {
      return !incarnation.equals(otherIncarnation);
    }
    Peer now = peers.get(Incarnations.vm(otherIncarnation));
    return now != null
        && !now.incarnation().equals(otherIncarnation)
        && Incarnations.sameVm(now.incarnation(), otherIncarnation);
  }

  /** Returns the age of the last response of the store; see {@link TableWatch#ageMillis}. */
  public long storeAgeMillis() {
    return watch.ageMillis();
  }

  /** Returns whether the store's clock is known. */
  public boolean clockKnown() {
    return watch.clockKnown();
  }

  /** Returns the earliest time of the store's clock; see {@link TableWatch#storeMillis}. */
  public long storeMillis() {
    return watch.storeMillis();
  }

  /** Returns the latest time of the store's clock; see {@link TableWatch#latestStoreMillis}. */
  public long latestStoreMillis() {
    return watch.latestStoreMillis();
  }

  /** Reads the store's clock; see {@link TableWatch#readClock}. */
  public Single<Long> readStoreClock() {
    return watch.readClock();
  }

  /** Removes this process's row, so that other processes take over its work at once. */
  public Completable leave() {
    senders.onLeave();
    heartbeatTimer.dispose();
    return tables
        .commit(Transaction.builder().delete(key).build())
        .ignoreElement()
        .doOnError(error -> log.warn("leave-failed", "cause", error.toString()))
        .onErrorComplete();
  }

  @Override
  public void close() {
    heartbeatTimer.dispose();
    watch.close();
  }

  private TableWatch.Listener listener() {
    return new TableWatch.Listener() {
      @Override
      public void onSnapshot(ImmutableList<Row> rows) {
        peers.clear();
        rows.forEach(row -> onRow(row));
      }

      @Override
      public void onChanges(ImmutableList<Change> changes) {
        for (Change change : changes) {
          change.row().ifPresentOrElse(row -> onRow(row), () -> onRemoved(change.key()));
        }
      }
    };
  }

  private void onRow(Row row) {
    String rowIncarnation = row.value().path("incarnation").asText();
    Peer now =
        new Peer(
            rowIncarnation,
            NodeDemandCodec.read(row.value()),
            RelayOfferCodec.read(row.value()),
            nowMillis(),
            NodeCapacityCodec.read(row.value()),
            rowIncarnation.equals(incarnation) || Incarnations.sameVm(rowIncarnation, incarnation));
    Peer before = peers.put(row.key(), now);
    SenderCodec.read(row, senders, incarnation, nowMillis());
    if (before == null || !before.incarnation().equals(now.incarnation())) {
      processChanges.onNext(row.key());
    }
  }

  private void onRemoved(String vm) {
    if (peers.remove(vm) != null) {
      processChanges.onNext(vm);
    }
  }

  /**
   * Renews this process's row before it is due if the demand has grown much since then, or the
   * services that it reaches have changed.
   */
  void publishChanges() {
    if (demand.get().exceedsTwice(publishedDemand) || !relayOffer.get().equals(publishedOffer)) {
      sendHeartbeat();
    }
  }

  private void sendHeartbeat() {
    if (heartbeatInFlight) {
      return;
    }
    heartbeatInFlight = true;
    heartbeatCount++;
    ObjectNode row =
        JsonNodeFactory.instance
            .objectNode()
            .put("incarnation", incarnation)
            .put("beats", heartbeatCount);
    SenderCodec.write(senders, row);
    publishedDemand = demand.get();
    NodeDemandCodec.write(publishedDemand, row);
    publishedOffer = relayOffer.get();
    RelayOfferCodec.write(publishedOffer, row);
    NodeCapacityCodec.write(capacity, row);
    Transaction transaction = Transaction.builder().put(key, row).build();
    var unused =
        tables
            .commit(transaction)
            .timeout(HEARTBEAT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
            .observeOn(scheduler)
            .doFinally(() -> heartbeatInFlight = false)
            .subscribe(
                result -> onHeartbeatCommitted(),
                error ->
                    log.info(
                        "heartbeat-failed", "beat", heartbeatCount, "cause", error.toString()));
  }

  private void onHeartbeatCommitted() {
    if (nowMillis() - lastHeartbeatMillis >= STALE_MILLIS) {
      heartbeatsSinceMillis = nowMillis();
    }
    lastHeartbeatMillis = nowMillis();
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
