package io.briarward.node;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.membership.Member;
import io.briarward.core.usage.CopyPlacement;
import io.briarward.core.usage.UsageSettings;
import io.briarward.core.weights.SwapSettings;
import io.briarward.node.configuration.ConfigurationHolder;
import io.briarward.node.configuration.ConfigurationStore;
import io.briarward.node.configuration.ControlContext;
import io.briarward.node.configuration.ControlService;
import io.briarward.node.duty.Duties;
import io.briarward.node.duty.PlanInputs;
import io.briarward.node.live.ActiveRequests;
import io.briarward.node.live.LiveContext;
import io.briarward.node.live.LiveProxy;
import io.briarward.node.live.RetryBudgets;
import io.briarward.node.live.RoutedSelector;
import io.briarward.node.live.UpstreamRequests;
import io.briarward.node.operate.OperatorApi;
import io.briarward.node.peer.NettyPeerNetwork;
import io.briarward.node.peer.PeerNetwork;
import io.briarward.node.peer.PeerSettings;
import io.briarward.node.platform.HttpObjectStore;
import io.briarward.node.platform.HttpReportSink;
import io.briarward.node.platform.HttpTableService;
import io.briarward.node.platform.HttpUpstreamOrders;
import io.briarward.node.platform.HttpVmList;
import io.briarward.node.platform.JsonHttpClient;
import io.briarward.node.platform.VmList;
import io.briarward.node.rollout.RolloutService;
import io.briarward.node.rollout.RoutedSamplerSelector;
import io.briarward.node.serving.OrderedUpstreams;
import io.briarward.node.serving.Serving;
import io.briarward.node.settings.NodeSettings;
import io.briarward.node.telemetry.Metrics;
import io.briarward.node.telemetry.Tracing;
import io.briarward.node.timing.Timers;
import io.briarward.node.timing.UptimeScheduler;
import io.briarward.node.usage.UsageMeter;
import io.briarward.node.weights.WeightService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.tinylog.Logger;

/**
 * A running node.
 *
 * <p>Everything except peer connections runs on one event loop. Example:
 *
 * <pre>{@code
 * Node node = Node.start(vertx, settings).blockingGet();
 * node.stop().blockingAwait();
 * }</pre>
 */
public final class Node {
  private static final long MEMBERS_INTERVAL_MILLIS = 500;
  private static final long SEAL_TIMEOUT_MILLIS = 10_000;
  private static final double WEIGHT_FETCHES_PER_SECOND = 2;

  private final NodeContext context;
  private final ActiveRequests active;
  private final LiveProxy live;
  private final Serving serving;
  private final RolloutService rollouts;
  private final UsageMeter usage;
  private final Duties duties;
  private final Deque<AutoCloseable> components = new ArrayDeque<>();
  private NodeServers servers;
  private boolean stopping;

  private Node(NodeContext context) {
    this.context = context;
    this.active = ActiveRequests.create();
    this.serving = Serving.start(context);
    UpstreamRequests upstreams = UpstreamRequests.create(context.vertx(), serving::observe);
    this.usage = startUsage();
    this.live =
        LiveProxy.create(
            liveContext(upstreams),
            context.configuration(),
            context.tables(),
            context.settings().maxConcurrent());
    this.rollouts =
        RolloutService.start(
            context,
            upstreams,
            RoutedSamplerSelector.create(
                serving.router(), context.configuration(), context::nowMillis),
            usage,
            () -> context.control().members().size() + 1);
    components.push(context.peers());
    components.push(context.tracing());
    components.push(upstreams);
    components.push(live);
    components.push(serving);
    components.push(context.control());
    PlanInputs planInputs = PlanInputs.create(context, serving.router());
    this.duties = Duties.start(context, usageSettings(), this::liveVms, planInputs::of);
    components.push(usage);
    components.push(rollouts);
    components.push(duties);
    components.push(startWeights());
    components.push(OrderedUpstreams.start(context, serving));
    components.push(subscribeToControl());
  }

  private UsageSettings usageSettings() {
    return UsageSettings.defaults().withWindowMillis(context.settings().usageWindowMillis());
  }

  private UsageMeter startUsage() {
    return UsageMeter.start(
        usageSettings(),
        context.incarnation(),
        new CopyPlacement.Candidate(context.settings().vmId(), context.settings().dataCentre()),
        this::copyCandidates,
        context.scheduler(),
        context::wallMillis,
        context.tables(),
        context.peers());
  }

  private ImmutableList<CopyPlacement.Candidate> copyCandidates() {
    return context.control().members().stream()
        .filter(Member::takesNewWork)
        .map(member -> new CopyPlacement.Candidate(member.vmId(), member.dataCentre()))
        .collect(ImmutableList.toImmutableList());
  }

  private ImmutableMap<String, String> liveVms() {
    ImmutableMap.Builder<String, String> live = ImmutableMap.builder();
    live.put(context.settings().vmId(), context.settings().dataCentre());
    context.control().members().stream()
        .filter(Member::takesNewWork)
        .forEach(member -> live.put(member.vmId(), member.dataCentre()));
    return live.buildKeepingLast();
  }

  private WeightService startWeights() {
    return WeightService.start(
        context,
        duties::weightSwapFencingNumber,
        this::configuredUpstreams,
        SwapSettings.of(WEIGHT_FETCHES_PER_SECOND));
  }

  private ImmutableList<Upstream> configuredUpstreams(String serviceId) {
    return context
        .configuration()
        .current()
        .configuration()
        .service(serviceId)
        .map(Service::upstreams)
        .orElse(ImmutableList.of());
  }

  private LiveContext liveContext(UpstreamRequests upstreams) {
    return new LiveContext(
        context.scheduler(),
        upstreams,
        RoutedSelector.create(serving.router(), context::nowMillis),
        serving.gate(),
        RetryBudgets.create(),
        usage,
        active,
        () -> context.configuration().permission().permitted(),
        context.metrics(),
        context.tracing(),
        context.bodies(),
        context.settings().maxBodyBytes());
  }

  /**
   * Subscribes to the control service.
   *
   * <p>Requests with keys are aborted when the control service emits a cut-off; the members are
   * published every {@value #MEMBERS_INTERVAL_MILLIS} ms.
   */
  private AutoCloseable subscribeToControl() {
    CompositeDisposable subscriptions = new CompositeDisposable();
    subscriptions.add(context.control().cutOffs().subscribe(unused -> active.abortKeyed()));
    subscriptions.add(
        Timers.every(context.scheduler(), MEMBERS_INTERVAL_MILLIS, this::publishMembers));
    return subscriptions::dispose;
  }

  private void publishMembers() {
    context.metrics().membersAlive(liveVms().size());
    context.metrics().keysUsable(context.configuration().permission().permitted());
    context.metrics().usageUnprotected(usage.unprotectedRecords());
    ImmutableList<Member> others = context.control().members();
    serving.setMembers(
        vmIdsWithOwn(others.stream().filter(Member::takesNewWork)), vmIdsWithOwn(others.stream()));
  }

  private ImmutableSet<String> vmIdsWithOwn(Stream<Member> others) {
    return Stream.concat(Stream.of(context.settings().vmId()), others.map(Member::vmId))
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Starts a node and returns it once it listens on its ports for callers and operators. */
  public static Single<Node> start(Vertx vertx, NodeSettings settings) {
    Context eventLoop = vertx.getOrCreateContext();
    Scheduler scheduler =
        UptimeScheduler.over(Schedulers.from(task -> eventLoop.runOnContext(unused -> task.run())));
    return Completable.fromAction(() -> NodeServers.checkLimits(settings))
        .andThen(
            Single.<Node>create(
                emitter ->
                    eventLoop.runOnContext(
                        unused -> {
                          Node node = new Node(createContext(vertx, settings, scheduler));
                          node.listen().onSuccess(emitter::onSuccess).onFailure(emitter::onError);
                        })))
        .doOnSuccess(Node::logStarted);
  }

  /** Returns the port for callers and trainers. */
  public int httpPort() {
    return servers.httpPort();
  }

  /** Returns the port for operators. */
  public int operatorPort() {
    return servers.operatorPort();
  }

  /**
   * Stops the node gracefully.
   *
   * <p>The node reports that it is not ready, waits for load balancers to notice, rejects new
   * requests, drains running ones and closes. Live requests that still run at the stop time-out are
   * ended.
   */
  public Completable stop() {
    NodeSettings settings = context.settings();
    return Completable.fromAction(
            () -> {
              stopping = true;
              context.control().leave();
              Logger.info("stopping with {} requests in flight", active.count());
            })
        .subscribeOn(context.scheduler())
        .delay(settings.stopDelayMillis(), TimeUnit.MILLISECONDS, context.scheduler())
        .andThen(Completable.fromAction(live::stopAccepting))
        .andThen(Completable.defer(rollouts::drain).mergeWith(Completable.defer(active::whenIdle)))
        .timeout(
            settings.stopDelayMillis() + settings.stopTimeoutMillis(),
            TimeUnit.MILLISECONDS,
            context.scheduler(),
            Completable.fromAction(active::abortAll))
        .andThen(Completable.defer(duties::stop))
        .andThen(Completable.defer(this::sealUsage))
        .andThen(Completable.defer(this::close));
  }

  private Completable sealUsage() {
    return usage
        .seal()
        .timeout(SEAL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, context.scheduler())
        .doOnError(
            error ->
                Logger.warn(
                    "could not seal the usage windows before closing: {}", error.toString()))
        .onErrorComplete();
  }

  /** Ends all live requests, so that a pending {@link #stop} need not wait for them. */
  public void cutOffAll() {
    context.scheduler().scheduleDirect(active::abortAll);
  }

  private static NodeContext createContext(
      Vertx vertx, NodeSettings settings, Scheduler scheduler) {
    JsonHttpClient http = JsonHttpClient.create(vertx, settings.platformTimeoutMillis());
    String incarnation = UUID.randomUUID().toString();
    InetSocketAddress peerAddress = new InetSocketAddress(settings.host(), settings.peerPort());
    PeerNetwork peers =
        NettyPeerNetwork.create(
            PeerSettings.of(settings.vmId(), incarnation, peerAddress), scheduler);
    HttpTableService tables = HttpTableService.create(http, settings.tableService());
    VmList vmList = HttpVmList.create(http, settings.vmList());
    ConfigurationHolder holder = ConfigurationHolder.create();
    long startWallMillis = System.currentTimeMillis();
    ControlService control =
        ControlService.create(
            new ControlContext(
                settings.vmId(),
                settings.dataCentre(),
                startWallMillis,
                scheduler,
                tables,
                vmList,
                peers,
                holder));
    return new NodeContext(
        settings,
        incarnation,
        vertx,
        scheduler,
        startWallMillis,
        scheduler.now(TimeUnit.MILLISECONDS),
        tables,
        HttpObjectStore.create(http, settings.objectStore()),
        HttpUpstreamOrders.create(http, settings.upstreamOrders()),
        HttpReportSink.create(http, settings.reportSink()),
        vmList,
        peers,
        holder,
        control,
        ConfigurationStore.create(tables, control, scheduler),
        Metrics.create(),
        Tracing.create(settings.vmId(), settings.otlpEndpoint()));
  }

  private Future<Node> listen() {
    context.control().start();
    CallerServer callers =
        new CallerServer(
            live, rollouts.api(context), context.metrics(), this::isReady, this::isAccepting);
    OperatorApi operators = OperatorApi.create(context, this::status);
    return NodeServers.listen(context, callers::handle, operators::handle)
        .onSuccess(listening -> servers = listening)
        .map(this);
  }

  private boolean isReady() {
    return !stopping && isAccepting();
  }

  /**
   * Returns whether requests may be accepted.
   *
   * <p>This requires a configuration and a registered usage incarnation, because unregistered usage
   * cannot be billed.
   */
  private boolean isAccepting() {
    return context.configuration().known() && usage.ready();
  }

  private ObjectNode status() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("vmId", context.settings().vmId())
        .put("incarnation", context.incarnation())
        .put("dataCentre", context.settings().dataCentre())
        .put("ready", isReady())
        .put("configurationVersion", context.configuration().current().version())
        .put("requestsInFlight", active.count())
        .put("membersAlive", liveVms().size())
        .put("keyedRoutes", context.configuration().permission().reason().name())
        .put("usageUnprotected", usage.unprotectedRecords());
  }

  private Completable close() {
    return Completable.create(
            emitter -> servers.shutdown().onComplete(unused -> emitter.onComplete()))
        .andThen(Completable.fromAction(this::closeComponents));
  }

  private void closeComponents() {
    while (!components.isEmpty()) {
      AutoCloseable component = components.pop();
      try (component) {
        Logger.debug("closing {}", component.getClass().getSimpleName());
      } catch (Exception e) {
        Logger.warn(e, "could not close a component of the node");
      }
    }
  }

  private void logStarted() {
    Logger.info(
        "node {} in data centre {} started with port {} for callers and port {} for operators",
        context.settings().vmId(),
        context.settings().dataCentre(),
        httpPort(),
        operatorPort());
  }
}
