package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;

/**
 * What a node tells the others about limited upstreams.
 *
 * @param neededPerSecondByInstance the number of requests per second that the node would send to
 *     each limited upstream, by {@link UpstreamEntry#instanceKey}
 * @param limitsByInstance the limits, in requests per second, that upstreams lately named to the
 *     node, by {@link UpstreamEntry#instanceKey}
 */
public record NodeDemand(
    ImmutableMap<String, Double> neededPerSecondByInstance,
    ImmutableMap<String, Double> limitsByInstance) {
  /** A growth of the need that is not worth a message, in requests per second. */
  private static final double NEGLIGIBLE_PER_SECOND = 0.5;

  /** The demand of a node that knows of no limited upstream. */
  public static final NodeDemand NONE = new NodeDemand(ImmutableMap.of(), ImmutableMap.of());

  /** Validates the components. */
  public NodeDemand {
    checkNotNull(neededPerSecondByInstance, "neededPerSecondByInstance");
    checkNotNull(limitsByInstance, "limitsByInstance");
  }

  /** Returns the requests per second that the node needs of an upstream, 0 if it told none. */
  public double neededPerSecond(String instanceKey) {
    return neededPerSecondByInstance.getOrDefault(instanceKey, 0.0);
  }

  /** Returns whether the need of any upstream is well above twice that of another demand. */
  public boolean exceedsTwice(NodeDemand other) {
    return neededPerSecondByInstance.entrySet().stream()
        .anyMatch(
            need ->
                need.getValue() > 2 * other.neededPerSecond(need.getKey()) + NEGLIGIBLE_PER_SECOND);
  }
}
