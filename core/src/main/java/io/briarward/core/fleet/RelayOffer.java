package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/**
 * What a node tells the others about the requests that it can run for them.
 *
 * @param address the host and port at which it accepts their requests; empty if it accepts none
 * @param cutOffServices the services of which it reaches no upstream itself
 */
public record RelayOffer(Optional<String> address, ImmutableSet<String> cutOffServices) {
  /** The offer of a node that accepts no requests of others. */
  public static final RelayOffer NONE = new RelayOffer(Optional.empty(), ImmutableSet.of());

  /** Validates the components. */
  public RelayOffer {
    checkNotNull(address, "address");
    checkNotNull(cutOffServices, "cutOffServices");
  }

  /** Returns the address at which the node accepts requests for a service, if it reaches it. */
  public Optional<String> addressFor(String service) {
    return address.filter(unused -> reaches(service));
  }

  /** Returns whether the node reaches upstreams of a service, as far as it knows. */
  public boolean reaches(String service) {
    return !cutOffServices.contains(service);
  }
}
