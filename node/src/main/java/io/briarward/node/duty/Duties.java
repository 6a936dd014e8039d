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
 * The duties that this node competes for: orders, weight swaps and reports.
 *
 * <p>Only the few nodes that are chosen for a duty watch its lease. Runs on the node's event loop.
 */
public final class Duties implements AutoCloseable {
  private static final long STEP_MILLIS = 50;
  private static final int CANDIDATES = 3;
  private static final long RELEASE_TIMEOUT_MILLIS = 5_000;

  private final NodeContext context;
  private final UsageSettings usageSettings;
  private final Supplier<ImmutableMap<String, String>> liveVms;
  private final Function<String, PlanInput> planInput;
  private final Map<String, Duty> duties = new HashMap<>();
  private boolean stopping;
  private Disposable stepping = Disposable.disposed();

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
   * @param liveVms the data centre of each VM thought to be alive, by id, this one among them
   * @param planInput what the capacity plan of a data centre is made from
   */
  public static Duties start(
      NodeContext context,
      UsageSettings usageSettings,
      Supplier<ImmutableMap<String, String>> liveVms,
      Function<String, PlanInput> planInput) {
    Duties duties = new Duties(context, usageSettings, liveVms, planInput);
    duties.stepping = Timers.nowAndEvery(context.scheduler(), STEP_MILLIS, duties::step);
    return duties;
  }

  /** Gives every lease up once what was sent under it is answered, and completes. */
  public Completable stop() {
    return Completable.fromAction(() -> stopping = true)
        .subscribeOn(context.scheduler())
        .andThen(Timers.until(context.scheduler(), STEP_MILLIS, this::released))
        .timeout(RELEASE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, context.scheduler())
        .doOnError(error -> Logger.warn("leases not released: {}", error.toString()))
        .onErrorComplete();
  }

  @Override
  public void close() {
    stepping.dispose();
  }

  private void step() {
    if (!stopping) {
      addDuties();
    }
    for (Duty duty : duties.values()) {
      if (stopping && duty.idle()) {
        duty.lease().release();
      }
      try {
        duty.step();
      } catch (RuntimeException e) {
        Logger.error(e, "duty {} failed", duty.name());
      }
    }
  }

  private void addDuties() {
    ImmutableMap<String, String> live = liveVms.get();
    addDuty(ReportMachine.DUTY, live.keySet(), this::reports);
    Configuration configuration = context.configuration().current().configuration();
    configuration.capacityTargets().stream()
        .map(CapacityTarget::dataCentre)
        .distinct()
        .forEach(
            dataCentre ->
                addDuty(
                    OrderMachine.duty(dataCentre),
                    within(dataCentre, live),
                    () -> orders(dataCentre)));
    String here = context.settings().dataCentre();
    configuration.services().stream()
        .filter(service -> service.kind() == Service.Kind.MODEL)
        .map(service -> swapsDuty(service.id()))
        .forEach(name -> addDuty(name, within(here, live), () -> swaps(name)));
  }

  /** Prefers the VMs that see the data centre's load, if any is left there. */
  private static ImmutableSet<String> within(String dataCentre, ImmutableMap<String, String> live) {
    ImmutableSet<String> local =
        live.entrySet().stream()
            .filter(vm -> vm.getValue().equals(dataCentre))
            .map(Map.Entry::getKey)
            .collect(ImmutableSet.toImmutableSet());
    return local.isEmpty() ? live.keySet() : local;
  }

  private void addDuty(String name, ImmutableSet<String> live, Supplier<Duty> factory) {
    boolean chosen =
        DutyCandidates.choose(name, live, CANDIDATES).contains(context.settings().vmId());
    if (chosen) {
      duties.computeIfAbsent(name, unused -> factory.get());
    }
    Duty duty = duties.get(name);
    if (duty != null) {
      duty.lease().setCandidate(chosen);
    }
  }

  /**
   * Returns the fencing number for the weight swaps of a service in this node's data centre, while
   * this node holds their lease.
   */
  public OptionalLong swapsFencingNumber(String service) {
    long nowMillis = context.nowMillis();
    return Optional.ofNullable(duties.get(swapsDuty(service)))
        .flatMap(duty -> duty.lease().guard())
        .filter(guard -> guard.mayStart(nowMillis))
        .map(guard -> OptionalLong.of(guard.fencingNumber()))
        .orElseGet(OptionalLong::empty);
  }

  private String swapsDuty(String service) {
    return "swaps/" + context.settings().dataCentre() + "/" + service;
  }

  private Duty swaps(String name) {
    return new LeaseOnlyDuty(
        name, LeaseLoop.create(context.tables(), context.scheduler(), name, context.incarnation()));
  }

  private Duty reports() {
    return ReportsDuty.create(
        context.tables(),
        context.reports(),
        context.scheduler(),
        context::wallMillis,
        usageSettings,
        context.incarnation());
  }

  private Duty orders(String dataCentre) {
    return OrdersDuty.create(
        context.tables(),
        context.orders(),
        context.scheduler(),
        dataCentre,
        () -> planInput.apply(dataCentre),
        context.incarnation());
  }

  private boolean released() {
    return duties.values().stream().allMatch(duty -> duty.lease().released());
  }
}
