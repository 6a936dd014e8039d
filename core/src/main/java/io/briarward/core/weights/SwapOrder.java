package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * An order to a sampler to load a weight version.
 *
 * @param sampler the upstream's id
 * @param version the version to load
 * @param source the id of the sampler to load from, or empty to load from the weight store
 * @param fencingNumber the fencing number of the sender's lease, above 0
 */
public record SwapOrder(String sampler, long version, Optional<String> source, long fencingNumber) {
  /** Checks the fields. */
  public SwapOrder {
    checkNotNull(sampler, "sampler");
    checkNotNull(source, "source");
    checkArgument(fencingNumber > 0, "fencingNumber is %s, expected > 0", fencingNumber);
  }
}
