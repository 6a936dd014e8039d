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

/** Which samplers the items of one batch may run on now. Confined to the event loop. */
final class SamplerChoice {
  private final BatchContext context;
  private final BatchSpec spec;
  private final BatchTerms terms;
  private final BatchRun run;

  SamplerChoice(BatchContext context, BatchSpec spec, BatchTerms terms, BatchRun run) {
    this.context = checkNotNull(context, "context");
    this.spec = checkNotNull(spec, "spec");
    this.terms = checkNotNull(terms, "terms");
    this.run = checkNotNull(run, "run");
  }

  /** Returns the sampler on which an item ends soonest; empty if none takes it now. */
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

  /** Returns whether an item that runs on a sampler would end clearly sooner on another one. */
  boolean worthMoving(BatchItem item, UpstreamEntry from, long nowMillis) {
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

  /** Returns whether some sampler has weights that the batch takes, though it may be full. */
  boolean hasFresh(BatchItem item) {
    String service = service(item);
    return context.balancer().entries().stream()
        .anyMatch(entry -> !entry.leaving() && entry.service().equals(service) && fresh(entry));
  }

  private ImmutableList<UpstreamEntry> available(String service, long nowMillis) {
    return context
        .balancer()
        .available(
            service,
            ImmutableSet.of(),
            entry -> inFlight(entry) < entry.slots() && fresh(entry),
            nowMillis);
  }

  private int inFlight(UpstreamEntry sampler) {
    return context.balancer().inFlight(sampler.id());
  }

  private boolean fresh(UpstreamEntry sampler) {
    return spec.model().map(model -> sampler.version(model) >= spec.minVersion()).orElse(true);
  }

  private long tokenCapacity(String service) {
    return context
        .configuration()
        .flatMap(configuration -> Optional.ofNullable(configuration.services().get(service)))
        .map(FleetService::tokenCapacity)
        .orElse(0L);
  }

  /** Returns the service that the item's path leads to now. */
  private String service(BatchItem item) {
    return context
        .configuration()
        .flatMap(configuration -> configuration.route(terms.host(), item.path()))
        .map(FleetRoute::batchService)
        .orElse(terms.service());
  }
}
