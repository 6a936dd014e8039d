package io.briarward.core.configuration;

/**
 * A back end that requests are routed to.
 *
 * @param id unique among all upstreams
 * @param dataCentre the id of the data centre it runs in
 * @param host its IP address
 * @param port its HTTP port, from 1 to 65535
 * @param reclaimable whether the platform may reclaim it at a few seconds' notice
 * @param checksFencing whether it rejects orders with a stale fencing number
 * @param maxConcurrent how many requests it runs at once before it queues them, from 1 to 1,000,000
 */
public record Upstream(
    String id,
    String dataCentre,
    String host,
    int port,
    boolean reclaimable,
    boolean checksFencing,
    int maxConcurrent) {
  /** Validates the components. */
  public Upstream {
    Checks.id(id, "id");
    Checks.id(dataCentre, "dataCentre");
    Checks.notEmpty(host, "host");
    Checks.range(port, 1, 65535, "port");
    Checks.range(maxConcurrent, 1, 1_000_000, "maxConcurrent");
  }
}
