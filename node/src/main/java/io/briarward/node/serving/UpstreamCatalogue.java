package io.briarward.node.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.routing.LeavingMarks;
import io.briarward.core.routing.Router;
import java.util.HashSet;
import java.util.Set;
import org.tinylog.Logger;

/** Keeps the router's list of configured and ordered upstreams. Confined to the event loop. */
final class UpstreamCatalogue {
  private final Router router;
  private final String localDataCentre;
  private final LeavingMarks leaving = LeavingMarks.create();
  private Configuration configuration = Configuration.empty();
  private ImmutableListMultimap<String, Upstream> ordered = ImmutableListMultimap.of();
  private ImmutableList<LocalUpstream> localUpstreams = ImmutableList.of();

  UpstreamCatalogue(Router router, String localDataCentre) {
    this.router = checkNotNull(router, "router");
    this.localDataCentre = checkNotNull(localDataCentre, "localDataCentre");
  }

  /** An upstream in the local data centre and the kind of its service. */
  record LocalUpstream(Upstream upstream, Service.Kind kind) {}

  void setConfiguration(Configuration next) {
    Set<String> removedServices = new HashSet<>();
    configuration.services().forEach(service -> removedServices.add(service.id()));
    next.services().forEach(service -> removedServices.remove(service.id()));
    removedServices.forEach(service -> router.replaceUpstreams(service, ImmutableList.of()));
    configuration = next;
    update();
  }

  /** Replaces the ordered upstreams, keyed by service id. */
  void setOrdered(ImmutableListMultimap<String, Upstream> next) {
    ordered = checkNotNull(next, "next");
    update();
  }

  /**
   * Handles a response of an upstream.
   *
   * @param saysLeaving whether the response says that the upstream leaves
   * @param sentAtMillis a time before the request was sent
   */
  void onResponse(String upstreamId, boolean saysLeaving, long sentAtMillis, long nowMillis) {
    if (leaving.onResponse(upstreamId, saysLeaving, sentAtMillis, nowMillis)) {
      Logger.info("upstream {} {}", upstreamId, saysLeaving ? "leaves" : "was replaced");
      if (saysLeaving) {
        router.markLeaving(upstreamId);
      } else {
        router.unmarkLeaving(upstreamId);
      }
    }
  }

  /** Returns the upstreams in the local data centre, whose load is polled. */
  ImmutableList<LocalUpstream> localUpstreams() {
    return localUpstreams;
  }

  private void update() {
    ImmutableList.Builder<LocalUpstream> next = ImmutableList.builder();
    Set<String> listed = new HashSet<>();
    for (Service service : configuration.services()) {
      ImmutableList<Upstream> all =
          ImmutableList.<Upstream>builder()
              .addAll(service.upstreams())
              .addAll(ordered.get(service.id()))
              .build();
      router.replaceUpstreams(service.id(), all);
      for (Upstream upstream : all) {
        listed.add(upstream.id());
        if (upstream.dataCentre().equals(localDataCentre)) {
          next.add(new LocalUpstream(upstream, service.kind()));
        }
      }
    }
    localUpstreams = next.build();
    leaving.retain(listed);
    leaving.ids().forEach(router::markLeaving);
  }
}
