package io.briarward.core.fleet;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Decides when this node is cut off from all upstreams of a service.
 *
 * <p>One upstream that does not answer may have failed itself. Several in a row, without contact to
 * any other upstream of the service in between, show that the node lost its links. Not thread-safe.
 */
final class ServiceContacts {
  /** The number of upstreams that must fail in a row, if the service has as many. */
  private static final int MIN_UNREACHABLE = 3;

  private final Map<String, Set<String>> unreachableByService = new HashMap<>();
  private final Map<String, Long> lastContactMillis = new HashMap<>();

  /** Handles a sign that an upstream of a service can be reached. */
  void onContact(String service, long nowMillis) {
    unreachableByService.remove(service);
    lastContactMillis.put(service, nowMillis);
  }

  /** Returns whether an upstream of a service gave a sign at or after the given time. */
  boolean hadContactSince(String service, long sinceMillis) {
    return lastContactMillis.getOrDefault(service, Long.MIN_VALUE) >= sinceMillis;
  }

  /** Handles an upstream that did not accept a connection or left a request without response. */
  void onUnreachable(String service, String upstreamId) {
    unreachableByService.computeIfAbsent(service, unused -> new HashSet<>()).add(upstreamId);
  }

  /** Handles the removal of an upstream. */
  void onRemoved(String service, String upstreamId) {
    Set<String> unreachable = unreachableByService.get(service);
    if (unreachable != null) {
      unreachable.remove(upstreamId);
    }
  }

  /**
   * Returns whether the node is cut off from a service.
   *
   * @param registered returns the number of upstreams of the service that accept requests; called
   *     only if one of them did not answer
   */
  boolean isCutOff(String service, LongSupplier registered) {
    int unreachable = unreachableByService.getOrDefault(service, Set.of()).size();
    if (unreachable == 0) {
      return false;
    }
    long required = Math.min(MIN_UNREACHABLE, registered.getAsLong());
    return required > 0 && unreachable >= required;
  }

  /** Returns the services of which an upstream did not answer since the last contact. */
  ImmutableSet<String> suspected() {
    return ImmutableSet.copyOf(unreachableByService.keySet());
  }
}
