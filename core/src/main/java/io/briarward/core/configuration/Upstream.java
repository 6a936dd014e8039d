package io.briarward.core.configuration;

/**
 * A back end that requests are routed to.
 *
 * @param id unique among all upstreams
 * @param dataCentre the data centre it runs in
 * @param host its address, an IP number
 * @param port its HTTP port
 * @param reclaimable whether the platform may take it back at a few seconds' notice
 * @param checksFencing whether it refuses orders that carry an old fencing number
 * @param maxConcurrent how many requests it runs at once before it queues, at least 1
 */
public record Upstream(
    String id,
    String dataCentre,
    String host,
    int port,
    boolean reclaimable,
    boolean checksFencing,
    int maxConcurrent) {
  /** Checks the fields. */
  public Upstream {
    Checks.id(id, "id");
    Checks.id(dataCentre, "dataCentre");
    Checks.notEmpty(host, "host");
    Checks.range(port, 1, 65535, "port");
    Checks.range(maxConcurrent, 1, 1_000_000, "maxConcurrent");
  }
}
