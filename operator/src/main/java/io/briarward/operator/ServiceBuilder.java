package io.briarward.operator;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A builder of services. Not thread-safe. */
public final class ServiceBuilder {
  private final String id;
  private final Service.Kind kind;
  private final List<Upstream> upstreams = new ArrayList<>();

  ServiceBuilder(String id, Service.Kind kind) {
    this.id = id;
    this.kind = kind;
  }

  /**
   * Adds a permanent upstream, as opposed to one that is ordered on demand.
   *
   * @throws io.briarward.core.configuration.InvalidConfigurationException with the path of the
   *     invalid field
   */
  @CanIgnoreReturnValue
  public ServiceBuilder upstream(String upstreamId, Consumer<UpstreamBuilder> details) {
    UpstreamBuilder upstream = new UpstreamBuilder(upstreamId);
    details.accept(upstream);
    upstreams.add(FieldPath.within("upstreams[" + upstreams.size() + "]", upstream::build));
    return this;
  }

  Service build() {
    return new Service(id, kind, ImmutableList.copyOf(upstreams));
  }
}
