package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.BatchRun;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.BatchTerms;
import io.briarward.core.fleet.FleetRoute;
import io.briarward.core.fleet.FleetService;
import io.briarward.core.fleet.UpstreamEntry;
import java.util.Optional;

/** Chooses samplers for the items of one batch. Confined to the event loop. */
final class SamplerChooser {
  private final BatchContext context;
  private final BatchSpec spec;
  private final BatchTerms terms;
  private final BatchRun run;

  SamplerChooser(BatchContext context, BatchSpec spec, BatchTerms terms, BatchRun run) {
    this.context = checkNotNull(context, "context");
    this.spec = checkNotNull(spec, "spec");
    this.terms = checkNotNull(terms, "terms");
    this.run = checkNotNull(run, "run");
  }

  /** Returns the sampler expected to complete an item soonest; empty if none can take it now. */
  Optional<UpstreamEntry> choose(BatchItem item, long nowMillis) {
    String service = service(item);
    return context
        .placement()
        .choose(
            available(service, nowMillis),
            this::inFlight,
            run.expectedTokens(item),
            tokenCapacity(service));
  }

  /** Returns whether another sampler would complete a running item clearly sooner. */
  boolean shouldMove(BatchItem item, UpstreamEntry from, long nowMillis) {
    String service = service(item);
    return context
        .placement()
        .worthMoving(
            from,
            available(service, nowMillis),
            this::inFlight,
            run.expectedTokens(item),
            tokenCapacity(service));
  }

  /** Returns whether any sampler has a weight version that the batch accepts, even if full. */
  boolean existsWithRequiredVersion(BatchItem item) {
    String service = service(item);
    return context.balancer().entries().stream()
        .anyMatch(
            entry ->
                !entry.leaving() && entry.service().equals(service) && hasRequiredVersion(entry));
  }

  /** Returns whether the batch's items may run on a sampler that has a free slot. */
  boolean accepts(UpstreamEntry sampler) {
    return sampler.service().equals(terms.service()) && hasRequiredVersion(sampler);
  }

  private ImmutableList<UpstreamEntry> available(String service, long nowMillis) {
    return context
        .balancer()
        .available(
            service,
            ImmutableSet.of(),
            entry -> inFlight(entry) < entry.slots() && hasRequiredVersion(entry),
            nowMillis);
  }

  private int inFlight(UpstreamEntry sampler) {
    return context.balancer().inFlight(sampler.id());
  }

  private boolean hasRequiredVersion(UpstreamEntry sampler) {
    return spec.model().map(model -> sampler.version(model) >= spec.minVersion()).orElse(true);
  }

  private long tokenCapacity(String service) {
    return context
        .configuration()
        .flatMap(configuration -> Optional.ofNullable(configuration.services().get(service)))
        .map(FleetService::tokenCapacity)
        .orElse(0L);
  }

  /** Returns the service that the current routes select for the item's path. */
  private String service(BatchItem item) {
    return context
        .configuration()
        .flatMap(configuration -> configuration.route(terms.host(), item.path()))
        .map(FleetRoute::batchService)
        .orElse(terms.service());
  }
}
