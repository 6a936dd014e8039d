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

/** Follows the samplers of one service in one data centre and swaps them while it may. */
final class SwapLoop implements AutoCloseable {
  private static final long TICK_MILLIS = 250;
  private static final long MIN_REPORT_MILLIS = 1_000;
  private static final long REPORT_MILLIS_PER_SAMPLER = 20;
  private static final long ANNOUNCED_MILLIS = 1_000;

  private final String service;
  private final Supplier<ImmutableMap<String, Upstream>> samplers;
  private final SamplerControl control;
  private final TableService tables;
  private final FencingNumbers fencing;
  private final Scheduler scheduler;
  private final SwapPlanner planner;
  private final Map<String, Long> versions = new HashMap<>();
  private final CompositeDisposable work = new CompositeDisposable();
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
    loop.every(TICK_MILLIS, Completable.defer(loop::tick));
    loop.every(ANNOUNCED_MILLIS, Completable.defer(loop::readAnnounced));
    return loop;
  }

  /** Returns the version that a sampler reported last, if it has reported. */
  Optional<Long> version(String sampler) {
    return Optional.ofNullable(versions.get(sampler));
  }

  private void every(long periodMillis, Completable step) {
    work.add(
        Flowable.interval(periodMillis, TimeUnit.MILLISECONDS, scheduler)
            .onBackpressureDrop()
            .concatMapCompletable(unused -> step.doOnError(this::logFailure).onErrorComplete(), 1)
            .subscribe());
  }

  private Completable readAnnounced() {
    boolean inCharge = fencing.current(service).isPresent();
    return inCharge
        ? tables
            .read(AnnouncedVersion.key(service))
            .doOnSuccess(row -> planner.target(AnnouncedVersion.fromRow(row).version()))
            .ignoreElement()
        : Completable.complete();
  }

  private Completable tick() {
    ImmutableMap<String, Upstream> present = samplers.get();
    planner.members(present.keySet());
    versions.keySet().retainAll(present.keySet());
    return Completable.merge(due(present).stream().map(this::readReport).toList())
        .andThen(Completable.defer(() -> orderSwaps(present)));
  }

  /** Returns whose reports are due: all now and then, those that are swapping at each tick. */
  private ImmutableSet<Upstream> due(ImmutableMap<String, Upstream> present) {
    long nowMillis = nowMillis();
    if (nowMillis >= nextReportsAtMillis) {
      long periodMillis = Math.max(MIN_REPORT_MILLIS, present.size() * REPORT_MILLIS_PER_SAMPLER);
      nextReportsAtMillis = nowMillis + periodMillis;
      return ImmutableSet.copyOf(present.values());
    }
    ImmutableSet<String> swapping = planner.swapping();
    return present.values().stream()
        .filter(sampler -> swapping.contains(sampler.id()))
        .collect(ImmutableSet.toImmutableSet());
  }

  private Completable readReport(Upstream sampler) {
    long askedAtMillis = nowMillis();
    return control
        .load(sampler)
        .doOnSuccess(load -> learn(sampler, load, askedAtMillis))
        .ignoreElement()
        .doOnError(e -> Logger.debug("no report of {}: {}", sampler.id(), e.getMessage()))
        .onErrorComplete();
  }

  private void learn(Upstream sampler, SamplerControl.Load load, long askedAtMillis) {
    versions.put(sampler.id(), load.weightVersion());
    planner.report(
        new SamplerReport(
            sampler.id(),
            load.weightVersion(),
            load.loadingVersion(),
            load.running(),
            askedAtMillis));
  }

  private Completable orderSwaps(ImmutableMap<String, Upstream> present) {
    OptionalLong fencingNumber = fencing.current(service);
    if (fencingNumber.isEmpty()) {
      return Completable.complete();
    }
    return Completable.merge(
        planner.poll(nowMillis(), fencingNumber.getAsLong()).stream()
            .map(order -> send(order, present))
            .toList());
  }

  private Completable send(SwapOrder order, ImmutableMap<String, Upstream> present) {
    Optional<Upstream> source = order.source().flatMap(id -> Optional.ofNullable(present.get(id)));
    return control
        .order(present.get(order.sampler()), order, service, source)
        .doOnError(e -> planner.refused(order, nowMillis()))
        .doOnError(this::logFailure)
        .onErrorComplete();
  }

  private void logFailure(Throwable cause) {
    Logger.warn("weights of {}: {}", service, cause.getMessage());
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    work.dispose();
  }
}
