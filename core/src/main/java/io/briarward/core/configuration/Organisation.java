package io.briarward.core.configuration;

/**
 * A tenant, whose usage is limited, billed and isolated from that of other tenants.
 *
 * @param id unique among organisations
 * @param partner the id of the partner that the organisation belongs to
 * @param weight its share of contended capacity relative to other organisations, from 0.001 to
 *     1,000,000
 * @param requestsPerSecond the limit on the rate of started requests over all nodes, from 0.001 to
 *     1,000,000,000
 * @param maxConcurrent the limit on concurrent requests over all nodes, from 1 to 1,000,000,000
 */
public record Organisation(
    String id, String partner, double weight, double requestsPerSecond, int maxConcurrent) {
  /** Validates the components. */
  public Organisation {
    Checks.id(id, "id");
    Checks.id(partner, "partner");
    Checks.range(weight, 1e-3, 1e6, "weight");
    Checks.range(requestsPerSecond, 1e-3, 1e9, "requestsPerSecond");
    Checks.range(maxConcurrent, 1, 1e9, "maxConcurrent");
  }
}
