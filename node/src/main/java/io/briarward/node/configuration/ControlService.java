package io.briarward.node.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.distribution.ConfigurationDelta;
import io.briarward.core.distribution.ConfigurationDocument;
import io.briarward.core.distribution.ConfigurationMessage;
import io.briarward.core.distribution.ControlAction;
import io.briarward.core.distribution.ControlNode;
import io.briarward.core.distribution.StoreRead;
import io.briarward.core.keys.ServingPermission;
import io.briarward.core.keys.ServingRule;
import io.briarward.core.membership.ListedVm;
import io.briarward.core.membership.Member;
import io.briarward.core.membership.Membership;
import io.briarward.core.membership.MembershipMessage;
import io.briarward.core.membership.MembershipSettings;
import io.briarward.node.membership.MembershipCodec;
import io.briarward.node.platform.VmList;
import io.briarward.node.timing.Timers;
import io.briarward.wire.proto.PeerMessage;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Runs a {@link ControlNode}: sends its messages, executes its reads and passes each settled
 * configuration to the {@link ConfigurationHolder}.
 *
 * <p>Confined to the thread of the context's scheduler. Example:
 *
 * <pre>{@code
 * ControlService control = ControlService.create(context);
 * control.start();
 * boolean mayServe = control.permission().permitted();
 * }</pre>
 */
public final class ControlService implements AutoCloseable {
  private static final long VM_LIST_INTERVAL_MILLIS = 2_000;
  private static final long PROBE_TIMEOUT_MILLIS = 2_000;
  private static final long CONFIGURATION_TIMEOUT_MILLIS = 5_000;
  private static final long CUT_OFF_DELAY_MILLIS = 5_000;
  private static final long NO_VERSION = -1;

  private final ControlContext context;
  private final ControlNode node;
  private final StoreReads reads;
  private final CompositeDisposable subscriptions = new CompositeDisposable();
  private final BehaviorProcessor<ServingPermission> permissions = BehaviorProcessor.create();
  private long publishedVersion = NO_VERSION;

  private ControlService(ControlContext context) {
    this.context = context;
    this.reads = new StoreReads(context.tables());
    Membership membership =
        Membership.create(
            context.vmId(), context.startWallMillis(), MembershipSettings.defaults(), new Random());
    this.node =
        ControlNode.create(context.vmId(), context.dataCentre(), membership, context.nowMillis());
  }

  /** Creates a service that does nothing until it is started. */
  public static ControlService create(ControlContext context) {
    return new ControlService(checkNotNull(context, "context"));
  }

  /** Starts to handle messages, probe other nodes and read the list of VMs and the store. */
  public void start() {
    context.holder().setPermission(this::permission);
    context.peers().setHandler(PeerMessage.BodyCase.MEMBERSHIP, this::onMessage);
    context.peers().setHandler(PeerMessage.BodyCase.CONFIGURATION, this::onMessage);
    subscriptions.add(
        Flowable.interval(0, VM_LIST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS, context.scheduler())
            .onBackpressureDrop()
            .concatMapMaybe(unused -> readVmList(), 1)
            .observeOn(context.scheduler())
            .subscribe(this::onVmList));
    long probeIntervalMillis = MembershipSettings.defaults().probeIntervalMillis();
    subscriptions.add(
        Timers.nowAndEvery(
            context.scheduler(),
            probeIntervalMillis,
            () -> execute(node.tick(context.nowMillis()))));
  }

  /** Returns whether routes that require a key may be served now. */
  public ServingPermission permission() {
    return ServingRule.permission(node, context.nowMillis());
  }

  /** Emits the permission and its changes; evaluated at least once per probe interval. */
  public Flowable<ServingPermission> permissions() {
    return permissions.onBackpressureLatest().distinctUntilChanged();
  }

  /**
   * Emits when in-flight requests and streams of callers with keys must be terminated, because the
   * permission has been denied for {@value #CUT_OFF_DELAY_MILLIS} ms without interruption.
   */
  public Flowable<ServingPermission> cutOffs() {
    return permissions()
        .distinctUntilChanged(ServingPermission::permitted)
        .switchMapMaybe(
            permission ->
                permission.permitted()
                    ? Maybe.<ServingPermission>empty()
                    : Maybe.just(permission)
                        .delay(CUT_OFF_DELAY_MILLIS, TimeUnit.MILLISECONDS, context.scheduler()));
  }

  /** Returns the other VMs. */
  public ImmutableList<Member> members() {
    return node.members();
  }

  /** Announces to the other nodes that this node is leaving and accepts no new work. */
  public void leave() {
    execute(node.leave(context.nowMillis()));
  }

  @Override
  public void close() {
    subscriptions.dispose();
  }

  /** Returns whether this node may accept a configuration change from an operator now. */
  boolean mayAcceptChange() {
    return ServingRule.mayAcceptChange(node, context.nowMillis());
  }

  /** Returns whether a stored version may be reported to the operator as accepted. */
  boolean isAccepted(long version) {
    return ServingRule.isAccepted(node, version, context.nowMillis());
  }

  /** Probes a sample of the nodes for the versions they hold. */
  void probeSample() {
    execute(node.probeSample(context.nowMillis()));
  }

  /** Returns the latest version that this node holds, empty if it holds none. */
  Optional<ConfigurationDocument> held() {
    return node.held();
  }

  /** Installs a version that this node stored by a transaction sent at {@code sentAtMillis}. */
  void onStored(ConfigurationDelta delta, long sentAtMillis) {
    execute(node.onAccepted(delta, sentAtMillis, context.nowMillis()));
  }

  private Maybe<ImmutableList<VmList.Vm>> readVmList() {
    return context
        .vmList()
        .read()
        .toMaybe()
        .doOnError(error -> Logger.debug("failed to read the list of VMs: {}", error.getMessage()))
        .onErrorComplete();
  }

  private void onVmList(ImmutableList<VmList.Vm> vms) {
    ImmutableMap.Builder<String, InetSocketAddress> addresses = ImmutableMap.builder();
    ImmutableList.Builder<ListedVm> listed = ImmutableList.builder();
    for (VmList.Vm vm : vms) {
      listed.add(new ListedVm(vm.id(), vm.dataCentre(), vm.leaving()));
      if (!vm.id().equals(context.vmId())) {
        addresses.put(vm.id(), new InetSocketAddress(vm.host(), vm.peerPort()));
      }
    }
    context.peers().setAddresses(addresses.buildKeepingLast());
    node.setListed(listed.build());
  }

  private Maybe<PeerMessage> onMessage(PeerMessage message) {
    return Maybe.defer(() -> Maybe.fromOptional(handle(message))).subscribeOn(context.scheduler());
  }

  /**
   * Handles a message and returns the response, if there is one.
   *
   * <p>The response is one of the resulting actions; all others are executed.
   */
  private Optional<PeerMessage> handle(PeerMessage message) {
    String from = message.getSenderVmId();
    Optional<PeerMessage> answer = Optional.empty();
    ImmutableList.Builder<ControlAction> others = ImmutableList.builder();
    for (ControlAction action : dispatch(from, message)) {
      Optional<PeerMessage> candidate = asAnswer(from, message, action);
      if (candidate.isPresent()) {
        answer = candidate;
      } else {
        others.add(action);
      }
    }
    execute(others.build());
    return answer;
  }

  private ImmutableList<ControlAction> dispatch(String from, PeerMessage message) {
    long nowMillis = context.nowMillis();
    return message.hasMembership()
        ? node.onMembership(from, MembershipCodec.decode(message.getMembership()), nowMillis)
        : node.onConfiguration(
            from, ConfigurationMessageCodec.decode(message.getConfiguration()), nowMillis);
  }

  private static Optional<PeerMessage> asAnswer(
      String from, PeerMessage message, ControlAction action) {
    if (action instanceof ControlAction.SendMembership send
        && send.message().kind() == MembershipMessage.Kind.ANSWER
        && send.message().sequence() == message.getMembership().getSequence()
        && send.vmId().equals(from)) {
      return Optional.of(encode(send.message()));
    }
    if (action instanceof ControlAction.SendConfiguration send
        && send.message().kind() == ConfigurationMessage.Kind.CONTENT
        && send.vmId().equals(from)) {
      return Optional.of(encode(send.message()));
    }
    return Optional.empty();
  }

  private void execute(ImmutableList<ControlAction> actions) {
    for (ControlAction action : actions) {
      if (action instanceof ControlAction.SendMembership send) {
        boolean expectsAnswer = send.message().kind() == MembershipMessage.Kind.PROBE;
        send(send.vmId(), encode(send.message()), expectsAnswer, PROBE_TIMEOUT_MILLIS);
      } else if (action instanceof ControlAction.SendConfiguration send) {
        boolean expectsAnswer = send.message().kind() == ConfigurationMessage.Kind.REQUEST;
        send(send.vmId(), encode(send.message()), expectsAnswer, CONFIGURATION_TIMEOUT_MILLIS);
      } else if (action instanceof ControlAction.ReadStore read) {
        read(read.read());
      }
    }
    publish();
  }

  private void send(String vmId, PeerMessage message, boolean expectsAnswer, long timeoutMillis) {
    if (!expectsAnswer) {
      context.peers().send(vmId, message);
      return;
    }
    var unused =
        context
            .peers()
            .request(vmId, message, timeoutMillis)
            .observeOn(context.scheduler())
            .subscribe(
                this::onAnswer,
                error -> Logger.trace("no response from VM {}: {}", vmId, error.getMessage()),
                subscriptions);
  }

  private void onAnswer(PeerMessage answer) {
    execute(dispatch(answer.getSenderVmId(), answer));
  }

  private void read(StoreRead read) {
    long startedAtMillis = context.nowMillis();
    var unused =
        reads
            .run(read)
            .observeOn(context.scheduler())
            .subscribe(
                rows ->
                    execute(node.onStoreAnswer(read, rows, startedAtMillis, context.nowMillis())),
                error -> onReadFailure(error),
                subscriptions);
  }

  private void onReadFailure(Throwable error) {
    Logger.debug("failed to read the configuration from the store: {}", error.getMessage());
    node.onStoreFailure();
  }

  private void publish() {
    if (node.isSettled(context.nowMillis())) {
      node.held()
          .filter(document -> document.version() > publishedVersion)
          .ifPresent(this::publish);
    }
    permissions.onNext(permission());
  }

  private void publish(ConfigurationDocument document) {
    publishedVersion = document.version();
    context
        .holder()
        .update(new VersionedConfiguration(document.version(), document.configuration()));
  }

  private static PeerMessage encode(MembershipMessage message) {
    return PeerMessage.newBuilder().setMembership(MembershipCodec.encode(message)).build();
  }

  private static PeerMessage encode(ConfigurationMessage message) {
    return PeerMessage.newBuilder()
        .setConfiguration(ConfigurationMessageCodec.encode(message))
        .build();
  }
}
