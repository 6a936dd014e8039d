package io.briarward.node.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.configuration.Partner;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.routing.RouteRequest;
import io.briarward.core.routing.Router;
import io.briarward.core.routing.UpstreamChoice;
import io.briarward.node.configuration.ConfigurationHolder;
import io.briarward.node.live.Prompt;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Selects samplers by the node's router, which also routes live requests.
 *
 * <p>No sampler gets more attempts than it runs concurrently. Further samples wait at the shard's
 * owner, which sends each to the first sampler with a free slot. Not thread-safe.
 */
public final class RoutedSamplerSelector implements SamplerSelector {
  private final Router router;
  private final ConfigurationHolder configuration;
  private final LongSupplier nowMillis;
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final Set<String> fullSamplerIds = new HashSet<>();

  private RoutedSamplerSelector(
      Router router, ConfigurationHolder configuration, LongSupplier nowMillis) {
    this.router = checkNotNull(router, "router");
    this.configuration = checkNotNull(configuration, "configuration");
    this.nowMillis = checkNotNull(nowMillis, "nowMillis");
  }

  /** Returns a selector that reads the time from the given clock. */
  public static RoutedSamplerSelector create(
      Router router, ConfigurationHolder configuration, LongSupplier nowMillis) {
    return new RoutedSamplerSelector(router, configuration, nowMillis);
  }

  /**
   * Selects a sampler that is not avoided and has the preferred weight version, else one that is
   * not avoided, else any that has the minimum weight version.
   */
  @Override
  public Optional<Slot> select(Selection selection) {
    RouteRequest anySampler = request(selection);
    RouteRequest notAvoided =
        anySampler.toBuilder().excluded(withFullSamplers(selection.avoided())).build();
    RouteRequest preferred =
        notAvoided.toBuilder().minWeightVersion(selection.preferredVersion()).build();
    return choose(preferred).or(() -> choose(notAvoided)).or(() -> choose(anySampler));
  }

  private RouteRequest request(Selection selection) {
    Prompt prompt = Prompt.of(selection.prompt());
    Optional<Partner> partner = partner(selection.organisation());
    return RouteRequest.builder(
            selection.service(), partner.map(Partner::id).orElse(selection.organisation()))
        .reclaimableShare(partner.map(Partner::reclaimableShare).orElse(0.0))
        .group(selection.group())
        .prefixHash(prompt.prefixHash())
        .promptTokens(prompt.tokens())
        .minWeightVersion(selection.minVersion())
        .excluded(ImmutableSet.copyOf(fullSamplerIds))
        .build();
  }

  private ImmutableSet<String> withFullSamplers(ImmutableSet<String> avoided) {
    return ImmutableSet.<String>builder().addAll(avoided).addAll(fullSamplerIds).build();
  }

  private void addInFlight(Upstream upstream, int change) {
    int count = inFlight.merge(upstream.id(), change, Integer::sum);
    if (count >= upstream.maxConcurrent()) {
      fullSamplerIds.add(upstream.id());
    } else {
      fullSamplerIds.remove(upstream.id());
    }
    inFlight.remove(upstream.id(), 0);
  }

  private Optional<Partner> partner(String organisationId) {
    Configuration current = configuration.current().configuration();
    return current
        .organisation(organisationId)
        .map(Organisation::partner)
        .flatMap(
            id -> current.partners().stream().filter(each -> each.id().equals(id)).findFirst());
  }

  private Optional<Slot> choose(RouteRequest request) {
    return router
        .choose(request, nowMillis.getAsLong())
        .match(
            chosen -> Optional.of(new RoutedSlot(chosen.choice())), rejection -> Optional.empty());
  }

  private final class RoutedSlot implements Slot {
    private final UpstreamChoice choice;
    private boolean released;

    RoutedSlot(UpstreamChoice choice) {
      this.choice = choice;
      addInFlight(choice.upstream(), 1);
    }

    @Override
    public Upstream upstream() {
      return choice.upstream();
    }

    @Override
    public void release(boolean succeeded) {
      if (released) {
        return;
      }
      released = true;
      addInFlight(choice.upstream(), -1);
      if (succeeded) {
        router.onFinished(choice, nowMillis.getAsLong());
      } else {
        router.onFailed(choice, nowMillis.getAsLong());
      }
    }
  }
}
