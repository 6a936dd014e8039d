package io.briarward.core.configuration;

/**
 * The limits on the number of upstreams that are ordered for a service in a data centre.
 *
 * @param service the id of the service
 * @param dataCentre the id of the data centre
 * @param min the minimum number of upstreams, from 0 to 100,000
 * @param max the maximum number of upstreams, from {@code min} to 100,000
 * @param maxConcurrent the number of requests that one ordered upstream runs at once, from 1 to
 *     1,000,000
 */
public record CapacityTarget(
    String service, String dataCentre, int min, int max, int maxConcurrent) {
  /** Validates the components. */
  public CapacityTarget {
    Checks.id(service, "service");
    Checks.id(dataCentre, "dataCentre");
    Checks.range(min, 0, 100_000, "min");
    Checks.range(max, min, 100_000, "max");
    Checks.range(maxConcurrent, 1, 1_000_000, "maxConcurrent");
  }
}
