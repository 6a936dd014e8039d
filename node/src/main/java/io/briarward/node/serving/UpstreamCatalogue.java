package io.briarward.node.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.routing.Router;
import java.util.HashSet;
import java.util.Set;

/** Keeps the router's list of configured and ordered upstreams. Confined to the event loop. */
final class UpstreamCatalogue {
  private final Router router;
  private final String localDataCentre;
  private final Set<String> leaving = new HashSet<>();
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

  void markLeaving(String upstreamId) {
    leaving.add(upstreamId);
    router.markLeaving(upstreamId);
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
    leaving.retainAll(listed);
    leaving.forEach(router::markLeaving);
  }
}
