package io.briarward.node.duty;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.capacity.OrderMachine;
import io.briarward.core.capacity.PlanInput;
import io.briarward.core.configuration.CapacityTarget;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Service;
import io.briarward.core.lease.DutyCandidates;
import io.briarward.core.usage.ReportMachine;
import io.briarward.core.usage.UsageSettings;
import io.briarward.node.NodeContext;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Competes for the leases of duties and carries out those that this node holds: upstream orders,
 * weight swaps and usage reports.
 *
 * <p>Of all nodes, only the {@value #CANDIDATES_PER_DUTY} candidates for a duty read its lease.
 * Confined to the node's event loop.
 */
public final class Duties implements AutoCloseable {
  private static final long STEP_INTERVAL_MILLIS = 50;
  private static final int CANDIDATES_PER_DUTY = 3;
  private static final long RELEASE_TIMEOUT_MILLIS = 5_000;

  private final NodeContext context;
  private final UsageSettings usageSettings;
  private final Supplier<ImmutableMap<String, String>> liveVms;
  private final Function<String, PlanInput> planInput;
  private final Map<String, Duty> duties = new HashMap<>();
  private boolean stopping;
  private Disposable stepTimer = Disposable.disposed();

  private Duties(
      NodeContext context,
      UsageSettings usageSettings,
      Supplier<ImmutableMap<String, String>> liveVms,
      Function<String, PlanInput> planInput) {
    this.context = checkNotNull(context, "context");
    this.usageSettings = checkNotNull(usageSettings, "usageSettings");
    this.liveVms = checkNotNull(liveVms, "liveVms");
    this.planInput = checkNotNull(planInput, "planInput");
  }

  /**
   * Starts to compete for the duties.
   *
   * @param liveVms supplies the data centre of each VM believed to be alive, by VM id; includes
   *     this VM
   * @param planInput returns the input of the capacity plan of a data centre
   */
  public static Duties start(
      NodeContext context,
      UsageSettings usageSettings,
      Supplier<ImmutableMap<String, String>> liveVms,
      Function<String, PlanInput> planInput) {
    Duties duties = new Duties(context, usageSettings, liveVms, planInput);
    duties.stepTimer = Timers.nowAndEvery(context.scheduler(), STEP_INTERVAL_MILLIS, duties::step);
    return duties;
  }

  /**
   * Releases each lease once every call sent under it has completed or failed.
   *
   * @return completes when all leases are released, or without an error after {@value
   *     #RELEASE_TIMEOUT_MILLIS} ms
   */
  public Completable stop() {
    return Completable.fromAction(() -> stopping = true)
        .subscribeOn(context.scheduler())
        .andThen(Timers.until(context.scheduler(), STEP_INTERVAL_MILLIS, this::areLeasesReleased))
        .timeout(RELEASE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, context.scheduler())
        .doOnError(
            error -> Logger.warn("failed to release all leases on stop: {}", error.toString()))
        .onErrorComplete();
  }

  @Override
  public void close() {
    stepTimer.dispose();
  }

  private void step() {
    if (!stopping) {
      updateCandidacies();
    }
    for (Duty duty : duties.values()) {
      if (stopping && duty.isIdle()) {
        duty.lease().release();
      }
      try {
        duty.step();
      } catch (RuntimeException e) {
        Logger.error(e, "step of duty {} failed", duty.name());
      }
    }
  }

  private void updateCandidacies() {
    ImmutableMap<String, String> live = liveVms.get();
    updateCandidacy(ReportMachine.DUTY, live.keySet(), this::createReportsDuty);
    Configuration configuration = context.configuration().current().configuration();
    configuration.capacityTargets().stream()
        .map(CapacityTarget::dataCentre)
        .distinct()
        .forEach(
            dataCentre ->
                updateCandidacy(
                    OrderMachine.duty(dataCentre),
                    preferredVms(dataCentre, live),
                    () -> createOrdersDuty(dataCentre)));
    String here = context.settings().dataCentre();
    configuration.services().stream()
        .filter(service -> service.kind() == Service.Kind.MODEL)
        .map(service -> swapsDutyName(service.id()))
        .forEach(
            name -> updateCandidacy(name, preferredVms(here, live), () -> createSwapsDuty(name)));
  }

  /**
   * Returns the live VMs in the data centre, which know its load, or all live VMs if none is there.
   */
  private static ImmutableSet<String> preferredVms(
      String dataCentre, ImmutableMap<String, String> live) {
    ImmutableSet<String> local =
        live.entrySet().stream()
            .filter(vm -> vm.getValue().equals(dataCentre))
            .map(Map.Entry::getKey)
            .collect(ImmutableSet.toImmutableSet());
    return local.isEmpty() ? live.keySet() : local;
  }

  private void updateCandidacy(String name, ImmutableSet<String> live, Supplier<Duty> factory) {
    boolean chosen =
        DutyCandidates.choose(name, live, CANDIDATES_PER_DUTY).contains(context.settings().vmId());
    if (chosen) {
      duties.computeIfAbsent(name, unused -> factory.get());
    }
    Duty duty = duties.get(name);
    if (duty != null) {
      duty.lease().setCandidate(chosen);
    }
  }

  /**
   * Returns the fencing number for the weight swaps of a service in this node's data centre, or
   * empty if this node does not hold their lease or too little of the lease is left to send an
   * order.
   */
  public OptionalLong weightSwapFencingNumber(String service) {
    long nowMillis = context.nowMillis();
    return Optional.ofNullable(duties.get(swapsDutyName(service)))
        .flatMap(duty -> duty.lease().guard())
        .filter(guard -> guard.mayStart(nowMillis))
        .map(guard -> OptionalLong.of(guard.fencingNumber()))
        .orElseGet(OptionalLong::empty);
  }

  private String swapsDutyName(String service) {
    return "swaps/" + context.settings().dataCentre() + "/" + service;
  }

  private Duty createSwapsDuty(String name) {
    return new LeaseOnlyDuty(
        name,
        LeaseRunner.create(context.tables(), context.scheduler(), name, context.incarnation()));
  }

  private Duty createReportsDuty() {
    return ReportsDuty.create(
        context.tables(),
        context.reports(),
        context.scheduler(),
        context::wallMillis,
        usageSettings,
        context.incarnation());
  }

  private Duty createOrdersDuty(String dataCentre) {
    return OrdersDuty.create(
        context.tables(),
        context.orders(),
        context.scheduler(),
        dataCentre,
        () -> planInput.apply(dataCentre),
        context.incarnation());
  }

  private boolean areLeasesReleased() {
    return duties.values().stream().allMatch(duty -> duty.lease().released());
  }
}
