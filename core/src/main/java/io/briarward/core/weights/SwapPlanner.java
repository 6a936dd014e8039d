package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Moves the samplers of one service in one data centre to the announced weight version.
 *
 * <p>The first sampler fetches the version from the weight store; samplers that have it pass it on,
 * each to a few at once, so that the number of holders grows by a factor per transfer. A swap
 * counts as done only when the sampler reports the version. At any time at least the stated share
 * of the live samplers is not swapping.
 *
 * <p>Only the holder of the lease for the service and data centre runs a planner. Not thread-safe.
 */
public final class SwapPlanner {
  private static final int MAX_FAILED_TRANSFERS = 2;
  private static final int FAILURES_BEFORE_STORE = 2;

  private final SwapSettings settings;
  private final FetchBudget fetches;
  private final Map<String, SamplerSwap> samplers = new LinkedHashMap<>();
  private long target;

  private SwapPlanner(SwapSettings settings, long nowMillis) {
    this.settings = settings;
    this.fetches = new FetchBudget(settings.fetchesPerSecond(), nowMillis);
  }

  /**
   * Returns a planner without samplers.
   *
   * @param nowMillis the time
   */
  public static SwapPlanner create(SwapSettings settings, long nowMillis) {
    return new SwapPlanner(checkNotNull(settings, "settings"), nowMillis);
  }

  /** Sets which samplers exist; what is known of those that stay is kept. */
  public void members(ImmutableSet<String> ids) {
    samplers.keySet().retainAll(ids);
    ids.forEach(id -> samplers.computeIfAbsent(id, SamplerSwap::new));
  }

  /** Sets the version that every sampler shall run; an older one than before is ignored. */
  public void target(long version) {
    target = Math.max(target, version);
  }

  /** Learns what a sampler reports; samplers that are not members are ignored. */
  public void report(SamplerReport report) {
    SamplerSwap sampler = samplers.get(report.sampler());
    if (sampler != null) {
      sampler.learn(report);
    }
  }

  /** Learns that an order was not accepted or did not arrive. */
  public void refused(SwapOrder order, long nowMillis) {
    SamplerSwap sampler = samplers.get(order.sampler());
    boolean current = sampler != null && sampler.order().equals(Optional.of(order));
    if (current) {
      fail(sampler, nowMillis);
    }
  }

  /** Returns whether every live sampler reports the target version. */
  public boolean isComplete(long nowMillis) {
    return live(nowMillis).stream().allMatch(sampler -> sampler.version() >= target);
  }

  /** Returns the samplers whose reports are awaited. */
  public ImmutableSet<String> swapping() {
    return samplers.values().stream()
        .filter(SamplerSwap::isSwapping)
        .map(SamplerSwap::sampler)
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Returns the orders to send now; each counts as sent.
   *
   * @param nowMillis the time
   * @param fencingNumber the number of the lease
   */
  public ImmutableList<SwapOrder> poll(long nowMillis, long fencingNumber) {
    checkArgument(fencingNumber > 0, "fencingNumber is %s, expected > 0", fencingNumber);
    settle(nowMillis);
    ImmutableList<SamplerSwap> live = live(nowMillis);
    long swapping = live.stream().filter(SamplerSwap::isSwapping).count();
    long allowed = settings.maxSwapping(live.size()) - swapping;
    Deque<String> sources = freeSources(live);
    ImmutableList.Builder<SwapOrder> orders = ImmutableList.builder();
    for (SamplerSwap sampler : candidates(live, nowMillis)) {
      if (allowed <= 0) {
        break;
      }
      Optional<SwapOrder> order = order(sampler, sources, nowMillis, fencingNumber);
      if (order.isPresent()) {
        sampler.ordered(order.get(), nowMillis);
        orders.add(order.get());
        allowed--;
      }
    }
    return orders.build();
  }

  private Optional<SwapOrder> order(
      SamplerSwap sampler, Deque<String> sources, long nowMillis, long fencingNumber) {
    boolean fromStore = sources.isEmpty() || sampler.failures() >= FAILURES_BEFORE_STORE;
    if (fromStore && !fetches.tryTake(nowMillis)) {
      return Optional.empty();
    }
    Optional<String> source = fromStore ? Optional.empty() : Optional.of(sources.remove());
    return Optional.of(new SwapOrder(sampler.sampler(), target, source, fencingNumber));
  }

  private void settle(long nowMillis) {
    for (SamplerSwap sampler : samplers.values()) {
      if (sampler.isConfirmed()) {
        sampler.confirm();
      } else if (sampler.isFailed(nowMillis, settings)) {
        fail(sampler, nowMillis);
      }
    }
  }

  private void fail(SamplerSwap sampler, long nowMillis) {
    Optional<String> source = sampler.order().flatMap(SwapOrder::source);
    source
        .flatMap(id -> Optional.ofNullable(samplers.get(id)))
        .ifPresent(SamplerSwap::transferFailed);
    sampler.fail(nowMillis, settings);
  }

  private ImmutableList<SamplerSwap> live(long nowMillis) {
    return samplers.values().stream()
        .filter(sampler -> sampler.isLive(nowMillis, settings))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns who may swap, those with the oldest weights and the least work first. */
  private ImmutableList<SamplerSwap> candidates(ImmutableList<SamplerSwap> live, long nowMillis) {
    return live.stream()
        .filter(sampler -> sampler.version() < target)
        .filter(sampler -> sampler.mayStart(nowMillis, settings))
        .sorted(
            Comparator.comparingLong(SamplerSwap::version).thenComparingInt(SamplerSwap::running))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns each holder of the target version once per transfer that it may start. */
  private Deque<String> freeSources(ImmutableList<SamplerSwap> live) {
    Map<String, Integer> free = new LinkedHashMap<>();
    live.stream()
        .filter(sampler -> sampler.version() >= target && !sampler.isSwapping())
        .filter(sampler -> sampler.failedTransfers() < MAX_FAILED_TRANSFERS)
        .forEach(sampler -> free.put(sampler.sampler(), settings.transfersPerSource()));
    live.stream()
        .flatMap(sampler -> sampler.order().flatMap(SwapOrder::source).stream())
        .forEach(source -> free.computeIfPresent(source, (id, transfers) -> transfers - 1));
    Deque<String> sources = new ArrayDeque<>();
    for (int round = 0; round < settings.transfersPerSource(); round++) {
      int taken = round;
      free.forEach(
          (id, transfers) -> {
            if (transfers > taken) {
              sources.add(id);
            }
          });
    }
    return sources;
  }
}
