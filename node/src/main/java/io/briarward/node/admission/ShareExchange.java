package io.briarward.node.admission;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.admission.AdmissionControl;
import io.briarward.core.admission.Limit;
import io.briarward.core.admission.LimitUse;
import io.briarward.core.admission.Members;
import io.briarward.core.admission.OutgoingReport;
import io.briarward.core.admission.Share;
import io.briarward.core.admission.ShareNegotiator;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.configuration.Service;
import io.briarward.core.routing.DataCentreLoad;
import io.briarward.core.routing.Router;
import io.briarward.node.peer.PeerNetwork;
import io.briarward.node.timing.Timers;
import io.briarward.wire.proto.AdmissionMessage;
import io.briarward.wire.proto.LimitGrant;
import io.briarward.wire.proto.PeerMessage;
import io.briarward.wire.proto.ServiceLoad;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Exchanges limit shares and the load of data centres with other nodes.
 *
 * <p>Confined to the event loop of its scheduler, except for the message handler, which uses only
 * thread-safe objects.
 */
public final class ShareExchange implements AutoCloseable {
  private static final long REPORT_INTERVAL_MILLIS = 250;
  private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

  /**
   * The number of requests that may be outstanding per batch slot of an upstream; above 1 so that
   * no slot is idle.
   */
  private static final double OUTSTANDING_PER_SLOT = 1.25;

  private final Context context;
  private final ShareNegotiator negotiator;
  private final Disposable tickTimer;
  private Configuration configuration = Configuration.empty();
  private int listedNodes = 1;
  private boolean tickRequested;

  /**
   * The dependencies of the exchange.
   *
   * @param vmId the id of this node
   * @param dataCentre the data centre of this node
   * @param firstSequence a number above every sequence number that an earlier process of this VM
   *     used
   */
  public record Context(
      String vmId,
      String dataCentre,
      long firstSequence,
      AdmissionControl control,
      AdmissionGate gate,
      Router router,
      PeerNetwork peers,
      Scheduler scheduler) {
    /** Validates the components. */
    public Context {
      checkNotNull(vmId, "vmId");
      checkNotNull(dataCentre, "dataCentre");
      checkNotNull(control, "control");
      checkNotNull(gate, "gate");
      checkNotNull(router, "router");
      checkNotNull(peers, "peers");
      checkNotNull(scheduler, "scheduler");
    }

    long nowMillis() {
      return scheduler.now(TimeUnit.MILLISECONDS);
    }
  }

  private ShareExchange(Context context) {
    this.context = context;
    ImmutableSet<String> self = ImmutableSet.of(context.vmId);
    this.negotiator =
        ShareNegotiator.create(
            new Members(context.vmId, self, self), context.firstSequence, context.nowMillis());
    context.peers.setHandler(PeerMessage.BodyCase.ADMISSION, this::onMessage);
    context.gate.onQueued(this::requestTick);
    this.tickTimer = Timers.every(context.scheduler, REPORT_INTERVAL_MILLIS, this::tick);
  }

  /** Starts the exchange of a node that knows no other node yet. */
  public static ShareExchange start(Context context) {
    return new ShareExchange(checkNotNull(context, "context"));
  }

  /**
   * Replaces this node's view of the membership.
   *
   * @param reachable the ids of the nodes that this node can reach, including itself
   * @param listed the ids of all nodes that may be running
   */
  public void setMembers(ImmutableSet<String> reachable, ImmutableSet<String> listed) {
    listedNodes = listed.size();
    negotiator.setMembers(new Members(context.vmId, reachable, listed), context.nowMillis());
  }

  /** Replaces the configuration. */
  public void setConfiguration(Configuration next) {
    configuration = next;
    context.control.replaceOrganisations(next.organisations(), 0, context.nowMillis());
    tick();
  }

  @Override
  public void close() {
    tickTimer.dispose();
  }

  /** Schedules a tick at once, so that new demand is reported without waiting for the interval. */
  private void requestTick() {
    if (!tickRequested) {
      tickRequested = true;
      context.scheduler.scheduleDirect(this::tick);
    }
  }

  private void tick() {
    tickRequested = false;
    long nowMillis = context.nowMillis();
    negotiator.replaceLimits(limits(nowMillis));
    Map<String, AdmissionMessage.Builder> byCoordinator = new LinkedHashMap<>();
    for (OutgoingReport outgoing : negotiator.poll(uses(nowMillis), nowMillis)) {
      byCoordinator
          .computeIfAbsent(outgoing.coordinator(), coordinator -> newMessage(nowMillis))
          .addReports(AdmissionCodec.encodeReport(outgoing.report()));
    }
    byCoordinator.forEach(this::send);
    applyShares();
  }

  private ImmutableList<Limit> limits(long nowMillis) {
    ImmutableList.Builder<Limit> limits = ImmutableList.builder();
    for (Organisation organisation : configuration.organisations()) {
      Share total = new Share(organisation.requestsPerSecond(), organisation.maxConcurrent());
      limits.add(new Limit(organisation.id(), total));
    }
    for (Service service : configuration.services()) {
      limits.add(new Limit(limitId(service), new Share(0, slots(service, nowMillis))));
    }
    return limits.build();
  }

  private ImmutableMap<String, LimitUse> uses(long nowMillis) {
    ImmutableMap.Builder<String, LimitUse> uses = ImmutableMap.builder();
    uses.putAll(context.control.limitUses(nowMillis));
    for (Service service : configuration.services()) {
      int outstanding = context.control.outstanding(service.id());
      if (outstanding > 0) {
        int running = context.control.running(service.id());
        uses.put(limitId(service), new LimitUse(new Share(0, outstanding), running));
      }
    }
    return uses.buildOrThrow();
  }

  /**
   * Returns the id of the limit on a service's slots in this data centre, which each data centre
   * divides separately; the slash distinguishes it from the ids of organisations.
   */
  private String limitId(Service service) {
    return "service/" + service.id() + "/" + context.dataCentre;
  }

  private double slots(Service service, long nowMillis) {
    double slots =
        context.router.localLoad(service.id(), nowMillis).map(DataCentreLoad::slots).orElse(0.0);
    return Math.ceil(OUTSTANDING_PER_SLOT * slots);
  }

  private void applyShares() {
    long nowMillis = context.nowMillis();
    for (Organisation organisation : configuration.organisations()) {
      Share share = negotiator.share(organisation.id(), nowMillis);
      context.control.setShare(organisation.id(), share, nowMillis);
    }
    for (Service service : configuration.services()) {
      double equalShare = Math.ceil(slots(service, nowMillis) / listedNodes);
      double granted = negotiator.share(limitId(service), nowMillis).concurrent();
      context.control.setCapacity(service.id(), Math.max(1, Math.max(equalShare, granted)));
    }
    context.gate.settle();
  }

  private void send(String coordinator, AdmissionMessage.Builder body) {
    PeerMessage message = PeerMessage.newBuilder().setAdmission(body).build();
    var unused =
        context
            .peers
            .request(coordinator, message, ANSWER_TIMEOUT_MILLIS)
            .observeOn(context.scheduler)
            .subscribe(
                answer -> onAnswer(answer.getAdmission()),
                error ->
                    Logger.debug(
                        "no share grants from coordinator {}: {}",
                        coordinator,
                        error.getMessage()));
  }

  private void onAnswer(AdmissionMessage answer) {
    for (LimitGrant grant : answer.getGrantsList()) {
      negotiator.onGrant(AdmissionCodec.decodeGrant(grant), context.nowMillis());
    }
    recordLoads(answer);
    applyShares();
  }

  private Maybe<PeerMessage> onMessage(PeerMessage message) {
    long nowMillis = context.nowMillis();
    AdmissionMessage request = message.getAdmission();
    AdmissionMessage.Builder answer = AdmissionMessage.newBuilder();
    AdmissionCodec.decodeReports(request).stream()
        .flatMap(report -> negotiator.onReport(message.getSenderVmId(), report, nowMillis).stream())
        .map(AdmissionCodec::encodeGrant)
        .forEach(answer::addGrants);
    recordLoads(request);
    return Maybe.just(PeerMessage.newBuilder().setAdmission(answer).build());
  }

  /** Creates a message that carries the load of this data centre and no reports yet. */
  private AdmissionMessage.Builder newMessage(long nowMillis) {
    AdmissionMessage.Builder message =
        AdmissionMessage.newBuilder().setDataCentre(context.dataCentre);
    for (Service service : configuration.services()) {
      context
          .router
          .localLoad(service.id(), nowMillis)
          .map(load -> AdmissionCodec.encodeLoad(service.id(), load))
          .ifPresent(message::addLoads);
    }
    return message;
  }

  private void recordLoads(AdmissionMessage message) {
    for (ServiceLoad load : message.getLoadsList()) {
      DataCentreLoad decoded =
          AdmissionCodec.decodeLoad(message.getDataCentre(), load, context.nowMillis());
      context.router.onDataCentreLoad(load.getService(), decoded);
    }
  }
}
