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
import io.vertx.core.http.HttpClientRequest;
import java.util.SplittableRandom;

/**
 * Owns the router and the admission gate of a node, and keeps both up to date with the
 * configuration, the upstreams and their load, and the membership.
 *
 * <p>Confined to the node's event loop, except for the router, which is thread-safe.
 */
public final class Serving implements AutoCloseable {
  private final Router router;
  private final AdmissionGate gate;
  private final ShareExchange shareExchange;
  private final UpstreamCatalogue upstreamCatalogue;
  private final LeavingObserver observer;
  private final LoadPoller loadPoller;
  private final Disposable configurationChanges;

  private Serving(NodeContext context) {
    String dataCentre = context.settings().dataCentre();
    router = Router.create(dataCentre, RoutingPolicy.DEFAULT, new SplittableRandom());
    AdmissionControl control = AdmissionControl.create();
    gate = AdmissionGate.create(control, context.scheduler());
    shareExchange =
        ShareExchange.start(
            new ShareExchange.Context(
                context.settings().vmId(),
                dataCentre,
                context.startWallMillis(),
                control,
                gate,
                router,
                context.peers(),
                context.scheduler()));
    upstreamCatalogue = new UpstreamCatalogue(router, dataCentre);
    observer = new LeavingObserver(upstreamCatalogue, context::nowMillis);
    loadPoller =
        LoadPoller.start(
            context.vertx(),
            router,
            upstreamCatalogue,
            observer,
            context.scheduler(),
            context::wallMillis);
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

  /** Returns the gate that admits requests and rollouts. */
  public AdmissionGate gate() {
    return gate;
  }

  /**
   * Replaces this node's view of the membership.
   *
   * @param reachable the ids of the nodes that this node can reach, including itself
   * @param listed the ids of all nodes that may be running
   */
  public void setMembers(ImmutableSet<String> reachable, ImmutableSet<String> listed) {
    shareExchange.setMembers(reachable, listed);
  }

  /** Replaces the ordered upstreams, keyed by service id. */
  public void setOrderedUpstreams(ImmutableListMultimap<String, Upstream> byService) {
    upstreamCatalogue.setOrdered(byService);
  }

  /**
   * Learns from the response to a request whether the upstream leaves; no new work is sent to it
   * then.
   *
   * @param request a request that has not been sent
   */
  public void observe(String upstreamId, HttpClientRequest request) {
    observer.observe(upstreamId, request);
  }

  @Override
  public void close() {
    configurationChanges.dispose();
    loadPoller.close();
    shareExchange.close();
    gate.close();
  }

  private void onConfiguration(Configuration next) {
    upstreamCatalogue.setConfiguration(next);
    shareExchange.setConfiguration(next);
  }
}
