package io.briarward.core.configuration;

/**
 * A party that shares the pool of capacity with other partners.
 *
 * @param id unique among partners
 * @param reclaimableShare the maximum share of the partner's work that may run on reclaimable
 *     upstreams, from 0 to 1
 */
public record Partner(String id, double reclaimableShare) {
  /** Validates the components. */
  public Partner {
    Checks.id(id, "id");
    Checks.range(reclaimableShare, 0, 1, "reclaimableShare");
  }
}
