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

/** Tells the router of configured and ordered upstreams. Confined to the event loop. */
final class UpstreamCatalogue {
  private final Router router;
  private final String localDataCentre;
  private final Set<String> leaving = new HashSet<>();
  private Configuration configuration = Configuration.empty();
  private ImmutableListMultimap<String, Upstream> ordered = ImmutableListMultimap.of();
  private ImmutableList<LocalUpstream> local = ImmutableList.of();

  UpstreamCatalogue(Router router, String localDataCentre) {
    this.router = checkNotNull(router, "router");
    this.localDataCentre = checkNotNull(localDataCentre, "localDataCentre");
  }

  /** An upstream of the local data centre with the kind of its service. */
  record LocalUpstream(Upstream upstream, Service.Kind kind) {}

  void setConfiguration(Configuration next) {
    Set<String> gone = new HashSet<>();
    configuration.services().forEach(service -> gone.add(service.id()));
    next.services().forEach(service -> gone.remove(service.id()));
    gone.forEach(service -> router.replaceUpstreams(service, ImmutableList.of()));
    configuration = next;
    update();
  }

  /** Replaces the ordered upstreams, given by service. */
  void setOrdered(ImmutableListMultimap<String, Upstream> next) {
    ordered = checkNotNull(next, "next");
    update();
  }

  void markLeaving(String upstreamId) {
    leaving.add(upstreamId);
    router.markLeaving(upstreamId);
  }

  /** Returns the upstreams whose load is to be polled. */
  ImmutableList<LocalUpstream> local() {
    return local;
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
    local = next.build();
    leaving.retainAll(listed);
    leaving.forEach(router::markLeaving);
  }
}
