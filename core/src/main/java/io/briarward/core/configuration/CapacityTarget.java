package io.briarward.core.configuration;

/**
 * How many upstreams of a service may be ordered in a data centre.
 *
 * @param service the id of the service
 * @param dataCentre the data centre
 * @param min the number kept running, at least 0
 * @param max the number never exceeded, at least {@code min}
 * @param maxConcurrent how many requests one ordered upstream runs at once
 */
public record CapacityTarget(
    String service, String dataCentre, int min, int max, int maxConcurrent) {
  /** Checks the fields. */
  public CapacityTarget {
    Checks.id(service, "service");
    Checks.id(dataCentre, "dataCentre");
    Checks.range(min, 0, 100_000, "min");
    Checks.range(max, min, 100_000, "max");
    Checks.range(maxConcurrent, 1, 1_000_000, "maxConcurrent");
  }
}
