package io.briarward.core.configuration;

/**
 * A tenant whose usage is limited, billed and kept apart from the others.
 *
 * @param id unique among organisations
 * @param partner the id of the partner it belongs to
 * @param weight its share of contended capacity relative to other organisations, above 0
 * @param requestsPerSecond the limit on started requests over all nodes, above 0
 * @param maxConcurrent the limit on running requests over all nodes, at least 1
 */
public record Organisation(
    String id, String partner, double weight, double requestsPerSecond, int maxConcurrent) {
  /** Checks the fields. */
  public Organisation {
    Checks.id(id, "id");
    Checks.id(partner, "partner");
    Checks.range(weight, 1e-3, 1e6, "weight");
    Checks.range(requestsPerSecond, 1e-3, 1e9, "requestsPerSecond");
    Checks.range(maxConcurrent, 1, 1e9, "maxConcurrent");
  }
}
