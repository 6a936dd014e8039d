package io.briarward.node.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.configuration.Partner;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.routing.RouteRequest;
import io.briarward.core.routing.Router;
import io.briarward.core.routing.UpstreamChoice;
import io.briarward.node.configuration.ConfigurationHolder;
import io.briarward.node.live.Prompt;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Chooses samplers by the node's router, which also places live requests. */
public final class RoutedSamplers implements SamplerSelector {
  private final Router router;
  private final ConfigurationHolder configuration;
  private final LongSupplier nowMillis;

  private RoutedSamplers(Router router, ConfigurationHolder configuration, LongSupplier nowMillis) {
    this.router = checkNotNull(router, "router");
    this.configuration = checkNotNull(configuration, "configuration");
    this.nowMillis = checkNotNull(nowMillis, "nowMillis");
  }

  /** Returns a selector that reads the time from the given clock. */
  public static RoutedSamplers create(
      Router router, ConfigurationHolder configuration, LongSupplier nowMillis) {
    return new RoutedSamplers(router, configuration, nowMillis);
  }

  /** Prefers samplers whose weights last and that were not tried, then takes any fresh one. */
  @Override
  public Optional<Slot> select(Selection selection) {
    RouteRequest any = request(selection);
    RouteRequest untried = any.toBuilder().excluded(selection.avoided()).build();
    RouteRequest lasting =
        untried.toBuilder().minWeightVersion(selection.preferredVersion()).build();
    return choose(lasting).or(() -> choose(untried)).or(() -> choose(any));
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
        .build();
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
        .match(chosen -> Optional.of(new RoutedSlot(chosen.choice())), refused -> Optional.empty());
  }

  private final class RoutedSlot implements Slot {
    private final UpstreamChoice choice;

    RoutedSlot(UpstreamChoice choice) {
      this.choice = choice;
    }

    @Override
    public Upstream upstream() {
      return choice.upstream();
    }

    @Override
    public void release(boolean succeeded) {
      if (succeeded) {
        router.onFinished(choice, nowMillis.getAsLong());
      } else {
        router.onFailed(choice, nowMillis.getAsLong());
      }
    }
  }
}
