package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.collect.ImmutableListMultimap.toImmutableListMultimap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.math.LongMath;
import io.briarward.core.fleet.UpstreamEntry;
import java.math.RoundingMode;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which samplers are ordered to load announced weights now.
 *
 * <p>Samplers load a few at a time, since loads slow each other down and a loading sampler serves
 * nothing. Each sampler follows one model; those furthest behind go first, and models that load
 * nothing yet before others.
 *
 * <p>Where batches take weights that are up to L versions old, each sampler loads every (L + 1)th
 * version only, in turn with the others: at an announcement those load that would be too old, and
 * so many that one in (L + 1) is fresh. Not thread-safe.
 */
public final class VersionOrders {
  /** The share of a service's samplers that may load at once without slowing each other. */
  private static final double LOADING_SHARE = 0.3;

  private static final int MIN_LOADING = 2; // The least number that the smallest services allow.

  /** When an accepted order counts as lost, in milliseconds; several loads in a row. */
  private static final long LOAD_TIMEOUT_MILLIS = 6_000;

  private final Map<String, Pending> pending = new HashMap<>();
  private final ModelAssignment assignment = new ModelAssignment();

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
      Collection<UpstreamEntry> samplers,
      ImmutableMap<String, Long> announced,
      ImmutableMap<String, FreshnessDemand> demands,
      long nowMillis) {
    forgetSettled(samplers, nowMillis);
    ImmutableList<UpstreamEntry> staying =
        samplers.stream()
            .filter(sampler -> !sampler.leaving())
            .collect(ImmutableList.toImmutableList());
    ImmutableMap<String, String> models = assignment.assign(staying, announced);
    ModelView view = new ModelView(models, announced, demands);
    ImmutableList.Builder<Order> orders = ImmutableList.builder();
    staying.stream()
        .filter(sampler -> models.containsKey(sampler.id()))
        .collect(toImmutableListMultimap(UpstreamEntry::service, s -> s))
        .asMap()
        .values()
        .forEach(service -> orders.addAll(nextOfService(service, view, nowMillis)));
    return orders.build();
  }

  private ImmutableList<Order> nextOfService(
      Collection<UpstreamEntry> samplers, ModelView view, long nowMillis) {
    long loading = samplers.stream().filter(each -> pending.containsKey(each.id())).count();
    long room = Math.max(MIN_LOADING, (long) (samplers.size() * LOADING_SHARE)) - loading;
    ImmutableList.Builder<Order> orders = ImmutableList.builder();
    for (long i = 0; i < room; i++) {
      ImmutableSet<String> lackingFresh = lackingFresh(samplers, view);
      Optional<UpstreamEntry> chosen =
          samplers.stream()
              .filter(sampler -> !pending.containsKey(sampler.id()))
              .filter(sampler -> due(sampler, view, lackingFresh))
              .max(
                  Comparator.comparingLong(view::lag)
                      .thenComparing(
                          Comparator.comparingLong(
                                  (UpstreamEntry sampler) -> loading(view.model(sampler)))
                              .reversed()));
      if (chosen.isEmpty()) {
        break;
      }
      UpstreamEntry sampler = chosen.get();
      String model = view.model(sampler);
      long version = view.announced(model);
      pending.put(
          sampler.id(),
          new Pending(sampler.bornMillis(), model, version, nowMillis + LOAD_TIMEOUT_MILLIS));
      orders.add(new Order(sampler, model, version));
    }
    return orders.build();
  }

  /** What was announced and is demanded, and which sampler follows which model. */
  private record ModelView(
      ImmutableMap<String, String> models,
      ImmutableMap<String, Long> announced,
      ImmutableMap<String, FreshnessDemand> demands) {
    String model(UpstreamEntry sampler) {
      return models.get(sampler.id());
    }

    long announced(String model) {
      return announced.get(model);
    }

    FreshnessDemand demand(String model) {
      return demands.getOrDefault(model, FreshnessDemand.NEWEST);
    }

    long lag(UpstreamEntry sampler) {
      String model = model(sampler);
      return announced(model) - sampler.version(model);
    }
  }

  private static boolean due(
      UpstreamEntry sampler, ModelView view, ImmutableSet<String> lackingFresh) {
    String model = view.model(sampler);
    FreshnessDemand demand = view.demand(model);
    return view.lag(sampler) > 0
        && (view.lag(sampler) > demand.allowedLag()
            || sampler.version(model) < demand.requiredVersion()
            || lackingFresh.contains(model));
  }

  /** Returns the models of which too few samplers have, or load, the announced weights. */
  private ImmutableSet<String> lackingFresh(Collection<UpstreamEntry> samplers, ModelView view) {
    ImmutableListMultimap<String, UpstreamEntry> byModel =
        samplers.stream().collect(toImmutableListMultimap(view::model, sampler -> sampler));
    return byModel.asMap().entrySet().stream()
        .filter(
            entry -> {
              long fresh = entry.getValue().stream().filter(each -> isFresh(each, view)).count();
              long turns = view.demand(entry.getKey()).allowedLag() + 1;
              return fresh < LongMath.divide(entry.getValue().size(), turns, RoundingMode.CEILING);
            })
        .map(Map.Entry::getKey)
        .collect(ImmutableSet.toImmutableSet());
  }

  private boolean isFresh(UpstreamEntry sampler, ModelView view) {
    Pending order = pending.get(sampler.id());
    return view.lag(sampler) <= 0
        || (order != null && order.version() >= view.announced(order.model()));
  }

  private long loading(String model) {
    return pending.values().stream().filter(each -> each.model().equals(model)).count();
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
