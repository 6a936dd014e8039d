package io.briarward.core.configuration;

import com.google.common.collect.ImmutableList;

/**
 * A service that requests are routed to.
 *
 * @param id unique among services
 * @param kind whether its upstreams are model engines or plain services
 * @param upstreams the permanent upstreams, in addition to those ordered at run time
 */
public record Service(String id, Kind kind, ImmutableList<Upstream> upstreams) {
  /** The kind of a service's upstreams. */
  public enum Kind {
    /** Model engines, which serve completions and rollouts. */
    MODEL,
    /** Plain HTTP services. */
    PLAIN
  }

  /** Validates the components. */
  public Service {
    Checks.id(id, "id");
    Checks.check(kind != null, "kind", kind, "MODEL or PLAIN");
    Checks.check(upstreams != null, "upstreams", upstreams, "a list");
  }
}
