package io.briarward.node.weights;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.weights.SwapSettings;
import io.briarward.node.NodeContext;
import io.briarward.node.platform.JsonHttpClient;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Keeps the samplers in this node's data centre at the announced weight versions.
 *
 * <p>Confined to the event loop. Example:
 *
 * <pre>{@code
 * WeightService weights =
 *     WeightService.start(context, leases::fencingNumber, upstreams::of, SwapSettings.of(2));
 * }</pre>
 */
public final class WeightService implements AutoCloseable {
  private static final long CONTROL_TIMEOUT_MILLIS = 1_000;

  private final NodeContext context;
  private final FencingNumbers fencing;
  private final Function<String, ImmutableList<Upstream>> upstreams;
  private final SwapSettings settings;
  private final JsonHttpClient client;
  private final Map<String, SwapLoop> loops = new HashMap<>();
  private final Disposable configurationSubscription;

  private WeightService(
      NodeContext context,
      FencingNumbers fencing,
      Function<String, ImmutableList<Upstream>> upstreams,
      SwapSettings settings) {
    this.context = context;
    this.fencing = fencing;
    this.upstreams = upstreams;
    this.settings = settings;
    this.client = JsonHttpClient.create(context.vertx(), CONTROL_TIMEOUT_MILLIS);
    this.configurationSubscription =
        context
            .configuration()
            .changes()
            .observeOn(context.scheduler())
            .subscribe(changed -> onConfiguration(changed.configuration()));
  }

  /**
   * Starts to update the samplers of all model services in the configuration.
   *
   * @param fencing provides the fencing numbers of the swap leases that this node holds
   * @param upstreams returns the current upstreams of a service in all data centres
   * @param settings the limits of swaps; the fetch rate is this data centre's share
   */
  public static WeightService start(
      NodeContext context,
      FencingNumbers fencing,
      Function<String, ImmutableList<Upstream>> upstreams,
      SwapSettings settings) {
    return new WeightService(context, fencing, upstreams, settings);
  }

  /**
   * Returns the weight version that a sampler of this data centre reported last, or {@link
   * Long#MAX_VALUE} if it is unknown.
   */
  public long weightVersion(String sampler) {
    return loops.values().stream()
        .flatMap(loop -> loop.reportedVersion(sampler).stream())
        .findFirst()
        .orElse(Long.MAX_VALUE);
  }

  private void onConfiguration(Configuration changed) {
    ImmutableSet<String> services =
        changed.services().stream()
            .filter(service -> service.kind() == Service.Kind.MODEL)
            .map(Service::id)
            .collect(ImmutableSet.toImmutableSet());
    for (String removed : ImmutableSet.copyOf(loops.keySet())) {
      if (!services.contains(removed)) {
        loops.remove(removed).close();
      }
    }
    services.forEach(service -> loops.computeIfAbsent(service, this::startLoop));
  }

  private SwapLoop startLoop(String service) {
    return SwapLoop.start(
        service,
        () -> localSamplers(service),
        HttpSamplerControl.create(client),
        context.tables(),
        fencing,
        context.scheduler(),
        settings);
  }

  private ImmutableMap<String, Upstream> localSamplers(String service) {
    String dataCentre = context.settings().dataCentre();
    return upstreams.apply(service).stream()
        .filter(upstream -> upstream.dataCentre().equals(dataCentre))
        .collect(ImmutableMap.toImmutableMap(Upstream::id, upstream -> upstream));
  }

  @Override
  public void close() {
    configurationSubscription.dispose();
    loops.values().forEach(SwapLoop::close);
    client.close();
  }
}
