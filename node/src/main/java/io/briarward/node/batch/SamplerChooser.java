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
import io.briarward.core.fleet.ServiceLoad;
import io.briarward.core.fleet.UpstreamEntry;
import java.util.Optional;

/** Chooses samplers for the items of one batch. Confined to the event loop. */
final class SamplerChooser {
  private final BatchContext context;
  private final BatchSpec spec;
  private final BatchTerms terms;
  private final BatchRun run;
  private long countedCapacity;
  private int tooLarge;

  SamplerChooser(BatchContext context, BatchSpec spec, BatchTerms terms, BatchRun run) {
    this.context = checkNotNull(context, "context");
    this.spec = checkNotNull(spec, "spec");
    this.terms = checkNotNull(terms, "terms");
    this.run = checkNotNull(run, "run");
  }

  /**
   * Returns the sampler expected to complete an item soonest; empty if none can take it now.
   *
   * <p>An item with output waits for a while for a sampler of the software version that generated
   * it, if one is registered.
   */
  Optional<UpstreamEntry> choose(BatchItem item, long nowMillis) {
    String service = service(item);
    ImmutableList<UpstreamEntry> available = available(service, nowMillis);
    Optional<String> softwareVersion = run.resumableAt(item.id());
    if (softwareVersion.isEmpty()) {
      return choose(item, service, available, nowMillis);
    }
    Optional<UpstreamEntry> resuming =
        choose(item, service, withSoftware(available, softwareVersion.get()), nowMillis);
    boolean waits =
        !run.hasWaitedToResume(item.id(), nowMillis)
            && existsWithSoftware(service, softwareVersion.get());
    return resuming.isPresent() || waits ? resuming : choose(item, service, available, nowMillis);
  }

  private Optional<UpstreamEntry> choose(
      BatchItem item, String service, ImmutableList<UpstreamEntry> available, long nowMillis) {
    return context
        .placement()
        .choose(
            context.balancer().pacing().compared(available, nowMillis),
            load(service, nowMillis),
            run.expectedTokens(item),
            tokenCapacity(service));
  }

  /** Returns the load of all samplers, so that owners on different nodes choose different ones. */
  private ServiceLoad load(String service, long nowMillis) {
    return context
        .balancer()
        .pacing()
        .load(
            context.balancer().notDraining(service).collect(ImmutableList.toImmutableList()),
            nowMillis);
  }

  private static ImmutableList<UpstreamEntry> withSoftware(
      ImmutableList<UpstreamEntry> samplers, String softwareVersion) {
    return samplers.stream()
        .filter(sampler -> sampler.softwareVersion().equals(softwareVersion))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean existsWithSoftware(String service, String softwareVersion) {
    return context
        .balancer()
        .notDraining(service)
        .anyMatch(
            entry -> entry.softwareVersion().equals(softwareVersion) && hasRequiredVersion(entry));
  }

  /**
   * Returns whether another sampler of the same software version would complete a running item
   * clearly sooner.
   */
  boolean shouldMove(BatchItem item, UpstreamEntry from, long nowMillis) {
    String service = service(item);
    return context
        .placement()
        .worthMoving(
            from,
            withSoftware(available(service, nowMillis), from.softwareVersion()),
            load(service, nowMillis).occupancy(),
            run.expectedTokens(item),
            tokenCapacity(service));
  }

  /** Returns whether any sampler has a weight version that the batch accepts, even if full. */
  boolean existsWithRequiredVersion(BatchItem item) {
    String service = service(item);
    return context.balancer().notDraining(service).anyMatch(this::hasRequiredVersion);
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

  /** Returns whether a sampler without other runs takes an item. */
  boolean fits(BatchItem item) {
    return item.fits(tokenCapacity(service(item)));
  }

  /** Returns the number of items that wait to start and that a sampler can take. */
  int waitingThatFit() {
    long tokenCapacity = tokenCapacity(terms.service());
    if (tokenCapacity != countedCapacity) {
      countedCapacity = tokenCapacity;
      tooLarge = (int) spec.items().stream().filter(item -> !item.fits(tokenCapacity)).count();
    }
    return Math.max(0, run.waiting() - tooLarge);
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
