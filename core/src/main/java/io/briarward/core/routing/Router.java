package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.errors.ErrorKind;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/**
 * Chooses upstreams for requests.
 *
 * <p>Choosing an upstream reserves capacity there, which counts as outstanding work until the
 * choice is released. Thread-safe: one lock guards short sections that perform no I/O. All times
 * are milliseconds on a single clock supplied by the caller.
 *
 * <p>Example: {@code router.choose(request, nowMillis).match(chosen -> send(chosen.choice()),
 * rejected -> answer(rejected.kind()))}.
 */
public final class Router {
  private static final long UNKNOWN_SERVICE_RETRY_MILLIS = 1_000;

  private final String localDataCentre;
  private final RoutingPolicy policy;
  private final RandomGenerator random;

  @GuardedBy("this")
  private final Map<String, ServicePool> pools = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, ShareMeter> reclaimableShares = new HashMap<>();

  @GuardedBy("this")
  private final Map<Long, Reservation> reservations = new HashMap<>();

  @GuardedBy("this")
  private long lastTicket;

  private Router(String localDataCentre, RoutingPolicy policy, RandomGenerator random) {
    this.localDataCentre = checkNotNull(localDataCentre, "localDataCentre");
    this.policy = checkNotNull(policy, "policy");
    this.random = checkNotNull(random, "random");
  }

  /**
   * Creates a router without upstreams.
   *
   * @param localDataCentre the data centre whose upstreams are preferred
   * @param random the source of every random choice; used under the router's lock only
   */
  public static Router create(
      String localDataCentre, RoutingPolicy policy, RandomGenerator random) {
    return new Router(localDataCentre, policy, random);
  }

  /**
   * Replaces all upstreams of a service, both configured and ordered ones.
   *
   * <p>The tracked state of an upstream is kept if its entry is unchanged. An upstream that is no
   * longer listed receives no new work; choices still in flight there can still be released.
   */
  public synchronized void replaceUpstreams(String service, ImmutableList<Upstream> upstreams) {
    checkNotNull(service, "service");
    checkNotNull(upstreams, "upstreams");
    pools
        .computeIfAbsent(service, id -> new ServicePool(localDataCentre, policy, random))
        .replace(upstreams);
  }

  /** Chooses an upstream and reserves capacity there, or returns why none is available. */
  public synchronized RouteResult choose(RouteRequest request, long nowMillis) {
    checkNotNull(request, "request");
    ServicePool pool = pools.get(request.service());
    if (pool == null) {
      return new RouteResult.Rejected(ErrorKind.NO_UPSTREAM, UNKNOWN_SERVICE_RETRY_MILLIS);
    }
    ShareMeter share =
        reclaimableShares.computeIfAbsent(request.partner(), partner -> new ShareMeter());
    boolean reclaimableAllowed =
        share.canAdd(request.work(), request.reclaimableShare(), nowMillis);
    Optional<ServicePool.Located> located = pool.choose(request, reclaimableAllowed, nowMillis);
    if (located.isEmpty()) {
      return pool.rejection(request, reclaimableAllowed);
    }
    UpstreamState state = located.get().state();
    share.record(request.work(), state.upstream().reclaimable(), nowMillis);
    return new RouteResult.Chosen(reserve(located.get(), request, nowMillis));
  }

  @GuardedBy("this")
  private UpstreamChoice reserve(
      ServicePool.Located located, RouteRequest request, long nowMillis) {
    UpstreamState state = located.state();
    boolean reuseExpected = located.pool().reuseProbability(request, state, nowMillis) > 0;
    lastTicket++;
    UpstreamChoice choice =
        new UpstreamChoice(lastTicket, request.service(), state.upstream(), reuseExpected);
    located.pool().onDispatched(state, request, nowMillis);
    reservations.put(lastTicket, new Reservation(located, request, nowMillis));
    return choice;
  }

  /** Releases a choice whose response arrived in full. */
  public synchronized void onFinished(UpstreamChoice choice, long nowMillis) {
    Reservation reservation = reservations.remove(choice.ticket());
    if (reservation != null) {
      long durationMillis = nowMillis - reservation.dispatchedAtMillis;
      reservation
          .pool()
          .onFinished(reservation.state(), reservation.request, durationMillis, nowMillis);
    }
  }

  /**
   * Releases a choice whose attempt failed, and counts the failure against the upstream.
   *
   * <p>Failures are refused connections, lost connections and invalid responses.
   */
  public synchronized void onFailed(UpstreamChoice choice, long nowMillis) {
    Reservation reservation = reservations.remove(choice.ticket());
    if (reservation != null) {
      reservation.pool().onFailed(reservation.state(), reservation.request, nowMillis);
    }
  }

  /**
   * Releases a choice without recording a success or failure of the upstream.
   *
   * <p>Used, for example, when the caller cancelled the request.
   */
  public synchronized void onReleased(UpstreamChoice choice, long nowMillis) {
    Reservation reservation = reservations.remove(choice.ticket());
    if (reservation != null) {
      reservation.pool().onReleased(reservation.state(), reservation.request, nowMillis);
    }
  }

  /** Records that the response to a choice in flight used no cached prefix. */
  public synchronized void onNothingCached(UpstreamChoice choice) {
    Reservation reservation = reservations.get(choice.ticket());
    if (reservation != null) {
      reservation.pool().onNothingCached(reservation.state(), reservation.request);
    }
  }

  /** Records a load report; a report older than the last one is ignored. */
  public synchronized void onLoadReport(String upstreamId, LoadReport report, long nowMillis) {
    checkNotNull(report, "report");
    forUpstream(upstreamId, (pool, state) -> pool.onLoadReport(state, report, nowMillis));
  }

  /** Records cache events, given in the order of their arrival. */
  public synchronized void onCacheEvents(
      String upstreamId, ImmutableList<CacheEvent> events, long nowMillis) {
    checkNotNull(events, "events");
    forUpstream(upstreamId, (pool, state) -> pool.onCacheEvents(state, events, nowMillis));
  }

  /** Counts a failed probe, such as a load report that could not be fetched, as a failure. */
  public synchronized void onUnreachable(String upstreamId, long nowMillis) {
    forUpstream(upstreamId, (pool, state) -> pool.onUnreachable(state, nowMillis));
  }

  /**
   * Stops sending new work to an upstream until it is unmarked or its entry is replaced by a
   * different one.
   */
  public synchronized void markLeaving(String upstreamId) {
    forUpstream(upstreamId, DataCentrePool::markLeaving);
  }

  /** Sends new work to an upstream again after {@link #markLeaving}. */
  public synchronized void unmarkLeaving(String upstreamId) {
    forUpstream(upstreamId, DataCentrePool::unmarkLeaving);
  }

  /** Records the aggregate load of a service in another data centre. */
  public synchronized void onDataCentreLoad(String service, DataCentreLoad load) {
    checkNotNull(load, "load");
    ServicePool pool = pools.get(service);
    if (pool != null) {
      pool.onDataCentreLoad(load);
    }
  }

  /** Returns the aggregate load of a service in the local data centre. */
  public synchronized Optional<DataCentreLoad> localLoad(String service, long nowMillis) {
    return Optional.ofNullable(pools.get(service)).map(pool -> pool.localLoad(nowMillis));
  }

  /** Returns the ids of a service's upstreams in the local data centre. */
  public synchronized ImmutableSet<String> localUpstreamIds(String service) {
    ServicePool pool = pools.get(service);
    return pool == null ? ImmutableSet.of() : pool.localIds();
  }

  /** Returns whether an upstream has no known outstanding work. */
  public synchronized boolean isIdle(String upstreamId) {
    checkNotNull(upstreamId, "upstreamId");
    return pools.values().stream()
        .flatMap(pool -> pool.locate(upstreamId).stream())
        .allMatch(located -> located.state().outstanding() <= 0);
  }

  /** Returns the number of choices that are not released yet. */
  public synchronized int reservedCount() {
    return reservations.size();
  }

  @GuardedBy("this")
  private void forUpstream(String upstreamId, BiConsumer<DataCentrePool, UpstreamState> action) {
    checkNotNull(upstreamId, "upstreamId");
    for (ServicePool pool : pools.values()) {
      Optional<ServicePool.Located> located = pool.locate(upstreamId);
      located.ifPresent(found -> action.accept(found.pool(), found.state()));
    }
  }

  private record Reservation(
      ServicePool.Located located, RouteRequest request, long dispatchedAtMillis) {
    DataCentrePool pool() {
      return located.pool();
    }

    UpstreamState state() {
      return located.state();
    }
  }
}
