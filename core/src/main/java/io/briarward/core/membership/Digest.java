package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;

/**
 * The configuration version that a node holds and the age of the evidence that it is the latest,
 * sent with every membership and configuration message.
 *
 * @param version the version that the node holds, or {@link #NO_VERSION}
 * @param evidenceAgeMillis the age of the latest evidence that the store held no later version than
 *     this one, >= 0; empty if the node has no evidence
 * @param settled whether the node's current process has learned the current version, from the store
 *     or from a majority of settled nodes; only settled nodes count towards a majority
 */
public record Digest(long version, Optional<Long> evidenceAgeMillis, boolean settled) {
  /** The version reported by a node that holds no configuration yet. */
  public static final long NO_VERSION = -1;

  /** Validates the components. */
  public Digest {
    checkArgument(version >= NO_VERSION, "version is %s, expected >= -1", version);
    checkArgument(
        evidenceAgeMillis.isEmpty() || evidenceAgeMillis.get() >= 0,
        "evidenceAgeMillis is %s, expected >= 0",
        evidenceAgeMillis);
  }

  /** Returns the digest of a node that holds no configuration yet. */
  public static Digest none() {
    return new Digest(NO_VERSION, Optional.empty(), false);
  }
}
