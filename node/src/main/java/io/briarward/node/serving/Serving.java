package io.briarward.node.serving;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.admission.AdmissionControl;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.routing.Router;
import io.briarward.core.routing.RoutingPolicy;
import io.briarward.node.NodeContext;
import io.briarward.node.admission.AdmissionGate;
import io.briarward.node.admission.ShareExchange;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.SplittableRandom;

/**
 * Routing and admission of a node.
 *
 * <p>Confined to the node's event loop; the router itself is thread-safe.
 */
public final class Serving implements AutoCloseable {
  private final Router router;
  private final AdmissionGate gate;
  private final ShareExchange shares;
  private final UpstreamCatalogue catalogue;
  private final LoadFeed loads;
  private final Disposable configurationChanges;

  private Serving(NodeContext context) {
    String dataCentre = context.settings().dataCentre();
    router = Router.create(dataCentre, RoutingPolicy.DEFAULT, new SplittableRandom());
    AdmissionControl control = AdmissionControl.create();
    gate = AdmissionGate.create(control, context.scheduler());
    shares =
        ShareExchange.start(
            new ShareExchange.Parts(
                context.settings().vmId(),
                dataCentre,
                context.startWallMillis(),
                control,
                gate,
                router,
                context.peers(),
                context.scheduler()));
    catalogue = new UpstreamCatalogue(router, dataCentre);
    loads =
        LoadFeed.start(
            context.vertx(), router, catalogue, context.scheduler(), context::wallMillis);
    configurationChanges =
        context.configuration().changes().subscribe(next -> onConfiguration(next.configuration()));
  }

  /** Starts routing and admission from the node's configuration. */
  public static Serving start(NodeContext context) {
    return new Serving(context);
  }

  /** Returns the router. */
  public Router router() {
    return router;
  }

  /** Returns the gate that requests and rollouts pass. */
  public AdmissionGate gate() {
    return gate;
  }

  /**
   * Replaces the view of the nodes.
   *
   * @param reachable the ids of the nodes that this one can reach, itself included
   * @param listed the ids of all nodes that may be running
   */
  public void setMembers(ImmutableSet<String> reachable, ImmutableSet<String> listed) {
    shares.setMembers(reachable, listed);
  }

  /** Replaces the ordered upstreams, given by service. */
  public void setOrderedUpstreams(ImmutableListMultimap<String, Upstream> byService) {
    catalogue.setOrdered(byService);
  }

  /** Stops new work to an upstream that is about to leave. */
  public void markLeaving(String upstreamId) {
    catalogue.markLeaving(upstreamId);
  }

  @Override
  public void close() {
    configurationChanges.dispose();
    loads.close();
    shares.close();
    gate.close();
  }

  private void onConfiguration(Configuration next) {
    catalogue.setConfiguration(next);
    shares.setConfiguration(next);
  }
}
