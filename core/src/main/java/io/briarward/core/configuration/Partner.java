package io.briarward.core.configuration;

/**
 * One of the parties that share the pool of capacity.
 *
 * @param id unique among partners
 * @param reclaimableShare the largest share of the partner's work that may run on reclaimable
 *     upstreams, from 0 to 1
 */
public record Partner(String id, double reclaimableShare) {
  /** Checks the fields. */
  public Partner {
    Checks.id(id, "id");
    Checks.range(reclaimableShare, 0, 1, "reclaimableShare");
  }
}
