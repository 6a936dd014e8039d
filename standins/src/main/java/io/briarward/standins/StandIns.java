package io.briarward.standins;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.standins.engine.EngineSettings;
import io.briarward.standins.engine.EngineStandIn;
import io.briarward.standins.http.Address;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.Options;
import io.briarward.standins.http.RunningStandIn;
import io.briarward.standins.http.StandIn;
import io.briarward.standins.http.StandInServer;
import io.briarward.standins.http.Timer;
import io.briarward.standins.objects.ObjectStandIn;
import io.briarward.standins.orders.OrderStandIn;
import io.briarward.standins.orders.UpstreamLauncher;
import io.briarward.standins.plain.PlainStandIn;
import io.briarward.standins.reports.ReportStandIn;
import io.briarward.standins.table.TableStandIn;
import io.briarward.standins.vms.VmListStandIn;
import io.briarward.standins.weights.WeightStandIn;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Starts stand-ins by name.
 *
 * <p>Every stand-in supports the options {@code seed}, the seed of the random choice of operations
 * that a fault affects, and {@code secrets}, strings separated by semicolons whose occurrences in
 * requests are counted. Example:
 *
 * <pre>{@code
 * RunningStandIn table =
 *     StandIns.start(StandIns.Name.TABLE, vertx, "127.0.0.1", 0, Map.of()).blockingGet();
 * }</pre>
 */
public final class StandIns {
  private final Vertx vertx;
  private final Scheduler scheduler;
  private final long epochOffsetMillis;

  private StandIns(Vertx vertx, Scheduler scheduler, long epochOffsetMillis) {
    this.vertx = vertx;
    this.scheduler = scheduler;
    this.epochOffsetMillis = epochOffsetMillis;
  }

  /** The available stand-ins. */
  public enum Name {
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    PLAIN,
    /** The transactional table service. */
    TABLE,
    /** The object store. */
    OBJECTS,
    /** The interface that orders upstreams in a data centre. */
    ORDERS,
    /** The interface that accepts usage reports. */
    REPORTS,
    /** The list of VMs. */
    VMS,
    /** The weight store. */
    WEIGHTS;

    /** Returns the name used on the command line. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the stand-in with the given label, or empty if there is none. */
    public static Optional<Name> byLabel(String label) {
      return Arrays.stream(values()).filter(name -> name.label().equals(label)).findFirst();
    }
  }

  /** Returns an instance whose stand-ins take time and timers from the scheduler. */
  public static StandIns create(Vertx vertx, Scheduler scheduler) {
    return new StandIns(vertx, scheduler, 0);
  }

  /** Returns an instance whose stand-ins use the system clock. */
  public static StandIns onSystemClock(Vertx vertx) {
    // RxJava's clock may be monotonic, but the interfaces use times since the epoch.
    Scheduler scheduler = Schedulers.single();
    long offsetMillis = System.currentTimeMillis() - scheduler.now(TimeUnit.MILLISECONDS);
    return new StandIns(vertx, scheduler, offsetMillis);
  }

  /** Starts a stand-in on the system clock. */
  public static Single<RunningStandIn> start(
      Name name, Vertx vertx, String host, int port, Map<String, String> options) {
    return onSystemClock(vertx).start(name, new Address(host, port), options);
  }

  /**
   * Starts a stand-in.
   *
   * @throws IllegalArgumentException if an option is unknown or its value is invalid
   */
  public Single<RunningStandIn> start(Name name, Address address, Map<String, String> options) {
    Options parsed = Options.of(options);
    ImmutableList<String> secrets = parsed.list("secrets");
    Faults faults = faults(name, parsed.number("seed", 1));
    Function<Timer, StandIn> factory = factory(name, parsed, faults);
    return StandInServer.start(
        new StandInServer.Launch(vertx, scheduler, epochOffsetMillis, address, faults, secrets),
        factory);
  }

  /**
   * Starts stand-ins one after the other, each on a free port of the loopback interface.
   *
   * @param options the options of each stand-in to start
   */
  public Single<ImmutableMap<Name, RunningStandIn>> startAll(
      Map<Name, Map<String, String>> options) {
    return Flowable.fromIterable(options.entrySet())
        .concatMapSingle(
            entry ->
                start(entry.getKey(), Address.ephemeral(), entry.getValue())
                    .map(running -> Map.entry(entry.getKey(), running)))
        .toList()
        .map(ImmutableMap::copyOf);
  }

  private static Faults faults(Name name, long seed) {
    return switch (name) {
      case ENGINE -> EngineStandIn.faults(seed);
      case PLAIN -> PlainStandIn.faults(seed);
      case TABLE -> TableStandIn.faults(seed);
      case OBJECTS -> ObjectStandIn.faults(seed);
      case ORDERS -> OrderStandIn.faults(seed);
      case REPORTS -> ReportStandIn.faults(seed);
      case VMS -> VmListStandIn.faults(seed);
      case WEIGHTS -> WeightStandIn.faults(seed);
    };
  }

  private Function<Timer, StandIn> factory(Name name, Options options, Faults faults) {
    return timer -> {
      StandIn standIn = createStandIn(name, options, faults, timer);
      options.checkAllRead();
      return standIn;
    };
  }

  private StandIn createStandIn(Name name, Options options, Faults faults, Timer timer) {
    return switch (name) {
      case ENGINE -> EngineStandIn.create(vertx, timer, faults, EngineSettings.from(options));
      case PLAIN -> PlainStandIn.create(timer, faults, PlainStandIn.Settings.from(options));
      case TABLE -> TableStandIn.create(timer, faults, options);
      case OBJECTS -> ObjectStandIn.create(timer, faults, options);
      case ORDERS -> OrderStandIn.create(timer, faults, options, upstreamLauncher(options));
      case REPORTS -> ReportStandIn.create();
      case VMS -> VmListStandIn.create(timer, faults, options);
      case WEIGHTS -> WeightStandIn.create(timer, faults, options);
    };
  }

  /**
   * Returns a launcher of ordered upstreams.
   *
   * <p>Upstreams of the services in the option {@code plainServices} are plain, all others are
   * engines. The option {@code upstreamOptions} holds the options of the upstreams.
   */
  private UpstreamLauncher upstreamLauncher(Options options) {
    ImmutableList<String> plainServices = options.list("plainServices");
    ImmutableMap<String, String> upstreamOptions = options.map("upstreamOptions");
    return (service, upstreamId) -> {
      Name name = plainServices.contains(service) ? Name.PLAIN : Name.ENGINE;
      ImmutableMap<String, String> all =
          ImmutableMap.<String, String>builder()
              .putAll(upstreamOptions)
              .put("service", service)
              .put("instance", upstreamId)
              .buildOrThrow();
      return start(name, Address.ephemeral(), all);
    };
  }
}
