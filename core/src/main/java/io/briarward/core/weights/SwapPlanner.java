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
 * Plans the swaps of the samplers of one service in one data centre to the announced weight
 * version.
 *
 * <p>The first sampler fetches the version from the weight store. Samplers that serve the version
 * transfer it to a few others at once, so the number of samplers with the version grows
 * exponentially. A swap is complete only when the sampler reports the version. At any time at least
 * the configured share of the live samplers is not swapping, except that one sampler may always
 * swap.
 *
 * <p>Only the lease holder of the service and data centre runs a planner. Not thread-safe.
 */
public final class SwapPlanner {
  private static final int MAX_FAILED_TRANSFERS = 2;
  private static final int FAILURES_BEFORE_STORE_FETCH = 2;

  private final SwapSettings settings;
  private final FetchRateLimiter fetchLimiter;
  private final Map<String, SamplerSwap> samplers = new LinkedHashMap<>();
  private long target;

  private SwapPlanner(SwapSettings settings, long nowMillis) {
    this.settings = settings;
    this.fetchLimiter = new FetchRateLimiter(settings.fetchesPerSecond(), nowMillis);
  }

  /**
   * Returns a planner without samplers.
   *
   * @param nowMillis the current time in milliseconds
   */
  public static SwapPlanner create(SwapSettings settings, long nowMillis) {
    return new SwapPlanner(checkNotNull(settings, "settings"), nowMillis);
  }

  /** Sets the ids of the existing samplers, keeping the state of those that remain. */
  public void members(ImmutableSet<String> ids) {
    samplers.keySet().retainAll(ids);
    ids.forEach(id -> samplers.computeIfAbsent(id, SamplerSwap::new));
  }

  /** Sets the version that all samplers are to serve; a version older than the last is ignored. */
  public void target(long version) {
    target = Math.max(target, version);
  }

  /** Records a report of a sampler; reports of unknown samplers are ignored. */
  public void report(SamplerReport report) {
    SamplerSwap sampler = samplers.get(report.sampler());
    if (sampler != null) {
      sampler.onReport(report);
    }
  }

  /** Records that an order was rejected or could not be delivered. */
  public void refused(SwapOrder order, long nowMillis) {
    SamplerSwap sampler = samplers.get(order.sampler());
    boolean isCurrent = sampler != null && sampler.order().equals(Optional.of(order));
    if (isCurrent) {
      fail(sampler, nowMillis);
    }
  }

  /**
   * Returns whether every live sampler reports the target version or a newer one; true if none is
   * live.
   */
  public boolean isComplete(long nowMillis) {
    return live(nowMillis).stream().allMatch(sampler -> sampler.version() >= target);
  }

  /** Returns the ids of the samplers that are swapping. */
  public ImmutableSet<String> swapping() {
    return samplers.values().stream()
        .filter(SamplerSwap::isSwapping)
        .map(SamplerSwap::sampler)
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Returns the orders to send now, and records them as sent.
   *
   * @param nowMillis the current time in milliseconds
   * @param fencingNumber the fencing number of the lease, above 0
   */
  public ImmutableList<SwapOrder> poll(long nowMillis, long fencingNumber) {
    checkArgument(fencingNumber > 0, "fencingNumber is %s, expected > 0", fencingNumber);
    processOutcomes(nowMillis);
    ImmutableList<SamplerSwap> live = live(nowMillis);
    long swapping = live.stream().filter(SamplerSwap::isSwapping).count();
    long remaining = settings.maxSwapping(live.size()) - swapping;
    Deque<String> sources = availableSources(live);
    ImmutableList.Builder<SwapOrder> orders = ImmutableList.builder();
    for (SamplerSwap sampler : candidates(live, nowMillis)) {
      if (remaining <= 0) {
        break;
      }
      Optional<SwapOrder> order = createOrder(sampler, sources, nowMillis, fencingNumber);
      if (order.isPresent()) {
        sampler.onOrdered(order.get(), nowMillis);
        orders.add(order.get());
        remaining--;
      }
    }
    return orders.build();
  }

  private Optional<SwapOrder> createOrder(
      SamplerSwap sampler, Deque<String> sources, long nowMillis, long fencingNumber) {
    boolean fromStore = sources.isEmpty() || sampler.failures() >= FAILURES_BEFORE_STORE_FETCH;
    if (fromStore && !fetchLimiter.tryAcquire(nowMillis)) {
      return Optional.empty();
    }
    Optional<String> source = fromStore ? Optional.empty() : Optional.of(sources.remove());
    return Optional.of(new SwapOrder(sampler.sampler(), target, source, fencingNumber));
  }

  private void processOutcomes(long nowMillis) {
    for (SamplerSwap sampler : samplers.values()) {
      if (sampler.isConfirmed()) {
        sampler.onConfirmed();
      } else if (sampler.isFailed(nowMillis, settings)) {
        fail(sampler, nowMillis);
      }
    }
  }

  private void fail(SamplerSwap sampler, long nowMillis) {
    Optional<String> source = sampler.order().flatMap(SwapOrder::source);
    source
        .flatMap(id -> Optional.ofNullable(samplers.get(id)))
        .ifPresent(SamplerSwap::onTransferFailed);
    sampler.onFailed(nowMillis, settings);
  }

  private ImmutableList<SamplerSwap> live(long nowMillis) {
    return samplers.values().stream()
        .filter(sampler -> sampler.isLive(nowMillis, settings))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the samplers that may swap, those with the oldest weights and then the least load
   * first.
   */
  private ImmutableList<SamplerSwap> candidates(ImmutableList<SamplerSwap> live, long nowMillis) {
    return live.stream()
        .filter(sampler -> sampler.version() < target)
        .filter(sampler -> sampler.canStart(nowMillis, settings))
        .sorted(
            Comparator.comparingLong(SamplerSwap::version).thenComparingInt(SamplerSwap::running))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns each sampler that has the target version once per transfer that it may start. */
  private Deque<String> availableSources(ImmutableList<SamplerSwap> live) {
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
      int assigned = round;
      free.forEach(
          (id, transfers) -> {
            if (transfers > assigned) {
              sources.add(id);
            }
          });
    }
    return sources;
  }
}
