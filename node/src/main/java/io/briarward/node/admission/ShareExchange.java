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
 * <p>Confined to the event loop of its scheduler, but for the receiver of messages, which uses only
 * thread-safe parts.
 */
public final class ShareExchange implements AutoCloseable {
  private static final long INTERVAL_MILLIS = 250;
  private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

  /** How many requests may be outstanding for a place in a batch, so that no place is idle. */
  private static final double OUTSTANDING_PER_SLOT = 1.25;

  private final Parts parts;
  private final ShareNegotiator negotiator;
  private final Disposable ticking;
  private Configuration configuration = Configuration.empty();
  private int listedNodes = 1;
  private boolean tickRequested;

  /**
   * What the exchange connects.
   *
   * @param vmId the id of this node
   * @param dataCentre the data centre of this node
   * @param firstSequence above every sequence that an earlier process of this VM used
   */
  public record Parts(
      String vmId,
      String dataCentre,
      long firstSequence,
      AdmissionControl control,
      AdmissionGate gate,
      Router router,
      PeerNetwork peers,
      Scheduler scheduler) {
    /** Checks the fields. */
    public Parts {
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

  private ShareExchange(Parts parts) {
    this.parts = parts;
    ImmutableSet<String> self = ImmutableSet.of(parts.vmId);
    this.negotiator =
        ShareNegotiator.create(
            new Members(parts.vmId, self, self), parts.firstSequence, parts.nowMillis());
    parts.peers.handle(PeerMessage.BodyCase.ADMISSION, this::onMessage);
    parts.gate.onQueued(this::requestTick);
    this.ticking = Timers.every(parts.scheduler, INTERVAL_MILLIS, this::tick);
  }

  /** Starts the exchange of a node that knows no other. */
  public static ShareExchange start(Parts parts) {
    return new ShareExchange(checkNotNull(parts, "parts"));
  }

  /**
   * Replaces the view of the nodes.
   *
   * @param reachable the ids of the nodes that this one can reach, itself included
   * @param listed the ids of all nodes that may be running
   */
  public void setMembers(ImmutableSet<String> reachable, ImmutableSet<String> listed) {
    listedNodes = listed.size();
    negotiator.setMembers(new Members(parts.vmId, reachable, listed), parts.nowMillis());
  }

  /** Replaces the configuration. */
  public void setConfiguration(Configuration next) {
    configuration = next;
    parts.control.replaceOrganisations(next.organisations(), 0, parts.nowMillis());
    tick();
  }

  @Override
  public void close() {
    ticking.dispose();
  }

  /** Reports new demand without waiting for the interval. */
  private void requestTick() {
    if (!tickRequested) {
      tickRequested = true;
      parts.scheduler.scheduleDirect(this::tick);
    }
  }

  private void tick() {
    tickRequested = false;
    long nowMillis = parts.nowMillis();
    negotiator.replaceLimits(limits(nowMillis));
    Map<String, AdmissionMessage.Builder> byHome = new LinkedHashMap<>();
    for (OutgoingReport outgoing : negotiator.poll(uses(nowMillis), nowMillis)) {
      byHome
          .computeIfAbsent(outgoing.coordinator(), home -> message(nowMillis))
          .addReports(AdmissionCodec.encodeReport(outgoing.report()));
    }
    byHome.forEach(this::send);
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
    uses.putAll(parts.control.limitUses(nowMillis));
    for (Service service : configuration.services()) {
      int outstanding = parts.control.outstanding(service.id());
      if (outstanding > 0) {
        int running = parts.control.running(service.id());
        uses.put(limitId(service), new LimitUse(new Share(0, outstanding), running));
      }
    }
    return uses.buildOrThrow();
  }

  /** Each data centre divides its own places; the slash keeps these ids from organisations'. */
  private String limitId(Service service) {
    return "service/" + service.id() + "/" + parts.dataCentre;
  }

  private double slots(Service service, long nowMillis) {
    double slots =
        parts.router.localLoad(service.id(), nowMillis).map(DataCentreLoad::slots).orElse(0.0);
    return Math.ceil(OUTSTANDING_PER_SLOT * slots);
  }

  private void applyShares() {
    long nowMillis = parts.nowMillis();
    for (Organisation organisation : configuration.organisations()) {
      Share share = negotiator.share(organisation.id(), nowMillis);
      parts.control.setShare(organisation.id(), share, nowMillis);
    }
    for (Service service : configuration.services()) {
      double even = Math.ceil(slots(service, nowMillis) / listedNodes);
      double granted = negotiator.share(limitId(service), nowMillis).concurrent();
      parts.control.setCapacity(service.id(), Math.max(1, Math.max(even, granted)));
    }
    parts.gate.settle();
  }

  private void send(String home, AdmissionMessage.Builder body) {
    PeerMessage message = PeerMessage.newBuilder().setAdmission(body).build();
    var unused =
        parts
            .peers
            .request(home, message, ANSWER_TIMEOUT_MILLIS)
            .observeOn(parts.scheduler)
            .subscribe(
                answer -> onAnswer(answer.getAdmission()),
                error -> Logger.debug("no shares from {}: {}", home, error.getMessage()));
  }

  private void onAnswer(AdmissionMessage answer) {
    for (LimitGrant grant : answer.getGrantsList()) {
      negotiator.onGrant(AdmissionCodec.decodeGrant(grant), parts.nowMillis());
    }
    takeLoads(answer);
    applyShares();
  }

  private Maybe<PeerMessage> onMessage(PeerMessage message) {
    long nowMillis = parts.nowMillis();
    AdmissionMessage request = message.getAdmission();
    AdmissionMessage.Builder answer = AdmissionMessage.newBuilder();
    AdmissionCodec.reports(request).stream()
        .flatMap(report -> negotiator.onReport(message.getSenderVmId(), report, nowMillis).stream())
        .map(AdmissionCodec::encodeGrant)
        .forEach(answer::addGrants);
    takeLoads(request);
    return Maybe.just(PeerMessage.newBuilder().setAdmission(answer).build());
  }

  /** Starts a message that also tells the load of this data centre. */
  private AdmissionMessage.Builder message(long nowMillis) {
    AdmissionMessage.Builder message =
        AdmissionMessage.newBuilder().setDataCentre(parts.dataCentre);
    for (Service service : configuration.services()) {
      parts
          .router
          .localLoad(service.id(), nowMillis)
          .map(load -> AdmissionCodec.encodeLoad(service.id(), load))
          .ifPresent(message::addLoads);
    }
    return message;
  }

  private void takeLoads(AdmissionMessage message) {
    for (ServiceLoad load : message.getLoadsList()) {
      DataCentreLoad decoded =
          AdmissionCodec.decodeLoad(message.getDataCentre(), load, parts.nowMillis());
      parts.router.onDataCentreLoad(load.getService(), decoded);
    }
  }
}
