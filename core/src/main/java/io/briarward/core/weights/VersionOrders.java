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
 * Decides which samplers are ordered to load announced weights.
 *
 * <p>Only a few samplers load at a time, since concurrent loads slow each other down and a loading
 * sampler serves no requests. Each sampler is assigned to one model. Samplers with the largest lag
 * are ordered first; among equal lags, those whose model has the fewest loads.
 *
 * <p>If batches accept weights that are up to L versions old, each sampler loads one version in L +
 * 1, in turn with the others. After an announcement, samplers that would otherwise be too old load
 * it, and as many more as needed for one sampler in L + 1 to have the announced version. Not
 * thread-safe.
 */
public final class VersionOrders {
  /** The share of a service's samplers that may load at once without slowing each other down. */
  private static final double MAX_LOADING_SHARE = 0.3;

  /** The least number of samplers that may load at once, for the smallest services. */
  private static final int MIN_LOADING_LIMIT = 2;

  /** The time after which an accepted order counts as lost; allows for several loads in a row. */
  private static final long LOAD_TIMEOUT_MILLIS = 6_000;

  private final Map<String, Pending> pending = new HashMap<>();
  private final ModelAssignment assignment = new ModelAssignment();

  private VersionOrders() {}

  /** Creates a planner without pending orders. */
  public static VersionOrders create() {
    return new VersionOrders();
  }

  /**
   * An order to a sampler to load a weight version.
   *
   * @param sampler the sampler
   * @param model the model whose weights are loaded
   * @param version the version to load, above that of the sampler
   */
  public record Order(UpstreamEntry sampler, String model, long version) {
    /** Checks the fields. */
    public Order {
      checkArgument(
          version > sampler.version(model),
          "version is %s, expected > %s",
          version,
          sampler.version(model));
    }
  }

  private record Pending(long bornMillis, String model, long version, long expiresAtMillis) {}

  /** Returns the orders to send now, and records them as pending. */
  public ImmutableList<Order> next(
      Collection<UpstreamEntry> samplers,
      ImmutableMap<String, Long> announced,
      ImmutableMap<String, FreshnessDemand> demands,
      long nowMillis) {
    removeSettled(samplers, nowMillis);
    ImmutableList<UpstreamEntry> remaining =
        samplers.stream()
            .filter(sampler -> !sampler.leaving())
            .collect(ImmutableList.toImmutableList());
    ImmutableMap<String, String> models = assignment.assign(remaining, announced);
    ModelView view = new ModelView(models, announced, demands);
    ImmutableList.Builder<Order> orders = ImmutableList.builder();
    remaining.stream()
        .filter(sampler -> models.containsKey(sampler.id()))
        .collect(toImmutableListMultimap(UpstreamEntry::service, s -> s))
        .asMap()
        .values()
        .forEach(service -> orders.addAll(nextForService(service, view, nowMillis)));
    return orders.build();
  }

  private ImmutableList<Order> nextForService(
      Collection<UpstreamEntry> samplers, ModelView view, long nowMillis) {
    long loading = samplers.stream().filter(each -> pending.containsKey(each.id())).count();
    long available =
        Math.max(MIN_LOADING_LIMIT, (long) (samplers.size() * MAX_LOADING_SHARE)) - loading;
    ImmutableList.Builder<Order> orders = ImmutableList.builder();
    for (long i = 0; i < available; i++) {
      ImmutableSet<String> modelsLackingFresh = modelsLackingFresh(samplers, view);
      Optional<UpstreamEntry> chosen =
          samplers.stream()
              .filter(sampler -> !pending.containsKey(sampler.id()))
              .filter(sampler -> isDue(sampler, view, modelsLackingFresh))
              .max(
                  Comparator.comparingLong(view::lag)
                      .thenComparing(
                          Comparator.comparingLong(
                                  (UpstreamEntry sampler) -> pendingCount(view.model(sampler)))
                              .reversed()));
      if (chosen.isEmpty()) {
        break;
      }
      UpstreamEntry sampler = chosen.get();
      String model = view.model(sampler);
      long version = view.announced(model);
      pending.put(
          sampler.id(),
          new Pending(sampler.startedAtMillis(), model, version, nowMillis + LOAD_TIMEOUT_MILLIS));
      orders.add(new Order(sampler, model, version));
    }
    return orders.build();
  }

  /** The model of each sampler, and the announced version and freshness demand of each model. */
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

  private static boolean isDue(
      UpstreamEntry sampler, ModelView view, ImmutableSet<String> modelsLackingFresh) {
    String model = view.model(sampler);
    FreshnessDemand demand = view.demand(model);
    return view.lag(sampler) > 0
        && (view.lag(sampler) > demand.allowedLag()
            || sampler.version(model) < demand.requiredVersion()
            || modelsLackingFresh.contains(model));
  }

  /** Returns the models of which too few samplers have, or are loading, the announced weights. */
  private ImmutableSet<String> modelsLackingFresh(
      Collection<UpstreamEntry> samplers, ModelView view) {
    ImmutableListMultimap<String, UpstreamEntry> byModel =
        samplers.stream().collect(toImmutableListMultimap(view::model, sampler -> sampler));
    return byModel.asMap().entrySet().stream()
        .filter(
            entry -> {
              long fresh = entry.getValue().stream().filter(each -> isFresh(each, view)).count();
              long loadInterval = view.demand(entry.getKey()).allowedLag() + 1;
              return fresh
                  < LongMath.divide(entry.getValue().size(), loadInterval, RoundingMode.CEILING);
            })
        .map(Map.Entry::getKey)
        .collect(ImmutableSet.toImmutableSet());
  }

  private boolean isFresh(UpstreamEntry sampler, ModelView view) {
    Pending order = pending.get(sampler.id());
    return view.lag(sampler) <= 0
        || (order != null && order.version() >= view.announced(order.model()));
  }

  private long pendingCount(String model) {
    return pending.values().stream().filter(each -> each.model().equals(model)).count();
  }

  /** Records that an order was rejected; the sampler is considered again after a delay. */
  public void onRejected(Order order, long nowMillis, long delayMillis) {
    pending.computeIfPresent(
        order.sampler().id(),
        (id, each) ->
            new Pending(each.bornMillis(), each.model(), each.version(), nowMillis + delayMillis));
  }

  private void removeSettled(Collection<UpstreamEntry> samplers, long nowMillis) {
    Map<String, UpstreamEntry> present = new HashMap<>();
    samplers.forEach(sampler -> present.put(sampler.id(), sampler));
    pending
        .entrySet()
        .removeIf(
            entry -> {
              UpstreamEntry sampler = present.get(entry.getKey());
              Pending order = entry.getValue();
              return sampler == null
                  || sampler.startedAtMillis() != order.bornMillis()
                  || sampler.version(order.model()) >= order.version()
                  || nowMillis >= order.expiresAtMillis();
            });
  }
}
