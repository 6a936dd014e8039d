package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.fleet.UpstreamEntry;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which samplers are ordered to load announced weights now.
 *
 * <p>Samplers load a few at a time, since loads slow each other down and a loading sampler serves
 * nothing. Those with the oldest weights go first. Not thread-safe.
 */
public final class VersionOrders {
  /** The share of a service's samplers that may load at once without slowing each other. */
  private static final double LOADING_SHARE = 0.3;

  private static final int MIN_LOADING = 2; // The least number that the smallest services allow.

  /** When an accepted order counts as lost, in milliseconds; several loads in a row. */
  private static final long LOAD_TIMEOUT_MILLIS = 6_000;

  private final Map<String, Pending> pending = new HashMap<>();

  private VersionOrders() {}

  /** Returns a planner that has ordered nothing. */
  public static VersionOrders create() {
    return new VersionOrders();
  }

  /**
   * An order to a sampler.
   *
   * @param version the version to load, above the sampler's
   */
  public record Order(UpstreamEntry sampler, String model, long version) {
    /** Checks the fields. */
    public Order {
      checkArgument(
          version > sampler.version(model),
          "version is %s, expected above %s",
          version,
          sampler.version(model));
    }
  }

  private record Pending(long bornMillis, String model, long version, long untilMillis) {}

  /** Returns the orders to be sent now, and counts them as pending. */
  public ImmutableList<Order> next(
      Collection<UpstreamEntry> samplers, ImmutableMap<String, Long> announced, long nowMillis) {
    forgetSettled(samplers, nowMillis);
    ImmutableList.Builder<Order> orders = ImmutableList.builder();
    announced.forEach(
        (model, version) -> {
          ImmutableList<UpstreamEntry> running =
              samplers.stream()
                  .filter(sampler -> sampler.version(model) > 0 && !sampler.leaving())
                  .collect(ImmutableList.toImmutableList());
          long loading =
              running.stream().filter(sampler -> pending.containsKey(sampler.id())).count();
          long room = Math.max(MIN_LOADING, (long) (running.size() * LOADING_SHARE)) - loading;
          running.stream()
              .filter(sampler -> sampler.version(model) < version)
              .filter(sampler -> !pending.containsKey(sampler.id()))
              .sorted(Comparator.comparingLong(sampler -> sampler.version(model)))
              .limit(Math.max(0, room))
              .forEach(
                  sampler -> {
                    pending.put(
                        sampler.id(),
                        new Pending(
                            sampler.bornMillis(), model, version, nowMillis + LOAD_TIMEOUT_MILLIS));
                    orders.add(new Order(sampler, model, version));
                  });
        });
    return orders.build();
  }

  /** Notes that an order was not accepted; it is decided on again after a delay. */
  public void onRejected(Order order, long nowMillis, long delayMillis) {
    pending.computeIfPresent(
        order.sampler().id(),
        (id, each) ->
            new Pending(each.bornMillis(), each.model(), each.version(), nowMillis + delayMillis));
  }

  private void forgetSettled(Collection<UpstreamEntry> samplers, long nowMillis) {
    Map<String, UpstreamEntry> present = new HashMap<>();
    samplers.forEach(sampler -> present.put(sampler.id(), sampler));
    pending
        .entrySet()
        .removeIf(
            entry -> {
              UpstreamEntry sampler = present.get(entry.getKey());
              Pending order = entry.getValue();
              return sampler == null
                  || sampler.bornMillis() != order.bornMillis()
                  || sampler.version(order.model()) >= order.version()
                  || nowMillis >= order.untilMillis();
            });
  }
}
