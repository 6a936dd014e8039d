package io.briarward.node.weights;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.weights.AnnouncedVersion;
import io.briarward.core.weights.SamplerReport;
import io.briarward.core.weights.SwapOrder;
import io.briarward.core.weights.SwapPlanner;
import io.briarward.core.weights.SwapSettings;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Tracks the weight versions of one service's samplers in one data centre.
 *
 * <p>While this node holds the lease, the loop orders swaps to the announced version.
 */
final class SwapLoop implements AutoCloseable {
  private static final long TICK_PERIOD_MILLIS = 250;
  private static final long MIN_REPORT_PERIOD_MILLIS = 1_000;
  private static final long REPORT_PERIOD_MILLIS_PER_SAMPLER = 20;
  private static final long ANNOUNCEMENT_PERIOD_MILLIS = 1_000;

  private final String service;
  private final Supplier<ImmutableMap<String, Upstream>> samplers;
  private final SamplerControl control;
  private final TableService tables;
  private final FencingNumbers fencing;
  private final Scheduler scheduler;
  private final SwapPlanner planner;
  private final Map<String, Long> reportedVersions = new HashMap<>();
  private final CompositeDisposable subscriptions = new CompositeDisposable();
  private long nextReportsAtMillis;

  private SwapLoop(
      String service,
      Supplier<ImmutableMap<String, Upstream>> samplers,
      SamplerControl control,
      TableService tables,
      FencingNumbers fencing,
      Scheduler scheduler,
      SwapSettings settings) {
    this.service = service;
    this.samplers = samplers;
    this.control = control;
    this.tables = tables;
    this.fencing = fencing;
    this.scheduler = scheduler;
    this.planner = SwapPlanner.create(settings, scheduler.now(TimeUnit.MILLISECONDS));
  }

  static SwapLoop start(
      String service,
      Supplier<ImmutableMap<String, Upstream>> samplers,
      SamplerControl control,
      TableService tables,
      FencingNumbers fencing,
      Scheduler scheduler,
      SwapSettings settings) {
    SwapLoop loop = new SwapLoop(service, samplers, control, tables, fencing, scheduler, settings);
    loop.repeat(TICK_PERIOD_MILLIS, Completable.defer(loop::tick));
    loop.repeat(ANNOUNCEMENT_PERIOD_MILLIS, Completable.defer(loop::readAnnounced));
    return loop;
  }

  /** Returns the version that a sampler reported last, or empty if it has not reported. */
  Optional<Long> reportedVersion(String samplerId) {
    return Optional.ofNullable(reportedVersions.get(samplerId));
  }

  private void repeat(long periodMillis, Completable step) {
    subscriptions.add(
        Flowable.interval(periodMillis, TimeUnit.MILLISECONDS, scheduler)
            .onBackpressureDrop()
            .concatMapCompletable(unused -> step.doOnError(this::logFailure).onErrorComplete(), 1)
            .subscribe());
  }

  private Completable readAnnounced() {
    boolean holdsLease = fencing.current(service).isPresent();
    return holdsLease
        ? tables
            .read(AnnouncedVersion.key(service))
            .doOnSuccess(row -> planner.target(AnnouncedVersion.fromRow(row).version()))
            .ignoreElement()
        : Completable.complete();
  }

  private Completable tick() {
    ImmutableMap<String, Upstream> currentSamplers = samplers.get();
    planner.members(currentSamplers.keySet());
    reportedVersions.keySet().retainAll(currentSamplers.keySet());
    return Completable.merge(samplersToAsk(currentSamplers).stream().map(this::readReport).toList())
        .andThen(Completable.defer(() -> orderSwaps(currentSamplers)));
  }

  /** Returns the samplers to poll: all once per report period, otherwise those that swap. */
  private ImmutableSet<Upstream> samplersToAsk(ImmutableMap<String, Upstream> currentSamplers) {
    long nowMillis = nowMillis();
    if (nowMillis >= nextReportsAtMillis) {
      long periodMillis =
          Math.max(
              MIN_REPORT_PERIOD_MILLIS, currentSamplers.size() * REPORT_PERIOD_MILLIS_PER_SAMPLER);
      nextReportsAtMillis = nowMillis + periodMillis;
      return ImmutableSet.copyOf(currentSamplers.values());
    }
    ImmutableSet<String> swapping = planner.swapping();
    return currentSamplers.values().stream()
        .filter(sampler -> swapping.contains(sampler.id()))
        .collect(ImmutableSet.toImmutableSet());
  }

  private Completable readReport(Upstream sampler) {
    long requestedAtMillis = nowMillis();
    return control
        .readLoadReport(sampler)
        .doOnSuccess(report -> onReport(sampler, report, requestedAtMillis))
        .ignoreElement()
        .doOnError(
            e ->
                Logger.debug(
                    "cannot read the load report of sampler {}: {}", sampler.id(), e.getMessage()))
        .onErrorComplete();
  }

  private void onReport(
      Upstream sampler, SamplerControl.LoadReport report, long requestedAtMillis) {
    reportedVersions.put(sampler.id(), report.weightVersion());
    planner.report(
        new SamplerReport(
            sampler.id(),
            report.weightVersion(),
            report.loadingVersion(),
            report.running(),
            requestedAtMillis));
  }

  private Completable orderSwaps(ImmutableMap<String, Upstream> currentSamplers) {
    OptionalLong fencingNumber = fencing.current(service);
    if (fencingNumber.isEmpty()) {
      return Completable.complete();
    }
    return Completable.merge(
        planner.poll(nowMillis(), fencingNumber.getAsLong()).stream()
            .map(order -> sendOrder(order, currentSamplers))
            .toList());
  }

  private Completable sendOrder(SwapOrder order, ImmutableMap<String, Upstream> currentSamplers) {
    Optional<Upstream> source =
        order.source().flatMap(id -> Optional.ofNullable(currentSamplers.get(id)));
    return control
        .orderSwap(currentSamplers.get(order.sampler()), order, service, source)
        .doOnError(e -> planner.refused(order, nowMillis()))
        .doOnError(this::logFailure)
        .onErrorComplete();
  }

  private void logFailure(Throwable cause) {
    Logger.warn("cannot update the weights of service {}: {}", service, cause.getMessage());
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    subscriptions.dispose();
  }
}
