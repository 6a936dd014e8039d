package io.briarward.core.streams;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.fleet.UpstreamEntry;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Tells whether all streams that may still be taken up have the same origin.
 *
 * <p>While one software version serves, as it does most of the time, the origin of a stream need
 * not be recorded. A node can tell so only for the time for which it has followed the registrations
 * without a gap. Not thread-safe.
 */
public final class OriginHistory {
  /**
   * How long after its beginning a stream may be taken up, in milliseconds; several times the
   * longest time-out of a route.
   */
  public static final long MAX_STREAM_AGE_MILLIS = 120_000;

  private final Map<StreamOrigin, Long> lastSeenMillis = new HashMap<>();
  private long completeSinceMillis = Long.MAX_VALUE;

  private OriginHistory() {}

  /** Creates a history in which nothing was followed yet. */
  public static OriginHistory create() {
    return new OriginHistory();
  }

  /**
   * Handles an event before which streams may have begun at an origin that this history lacks, such
   * as a reading of all registrations, before which some may have been missed.
   */
  public void onGap(long nowMillis) {
    completeSinceMillis = nowMillis;
  }

  /** Handles an upstream that was removed or registered with another software version. */
  public void onReplaced(UpstreamEntry upstream, long nowMillis) {
    checkNotNull(upstream, "upstream");
    lastSeenMillis.put(StreamOrigin.of(upstream), nowMillis);
    lastSeenMillis.values().removeIf(seenMillis -> seenMillis < nowMillis - MAX_STREAM_AGE_MILLIS);
  }

  /**
   * Returns the origin of all streams of the given services that may still be taken up; empty if
   * there are several or an unknown one.
   *
   * @param registered the current registrations
   */
  public Optional<StreamOrigin> sole(
      ImmutableSet<String> services, Collection<UpstreamEntry> registered, long nowMillis) {
    long sinceMillis = nowMillis - MAX_STREAM_AGE_MILLIS;
    if (completeSinceMillis > sinceMillis) {
      return Optional.empty();
    }
    Stream<StreamOrigin> recent =
        lastSeenMillis.entrySet().stream()
            .filter(entry -> entry.getValue() >= sinceMillis)
            .map(Map.Entry::getKey);
    ImmutableSet<StreamOrigin> origins =
        Stream.concat(registered.stream().map(StreamOrigin::of), recent)
            .filter(origin -> services.contains(origin.service()))
            .collect(ImmutableSet.toImmutableSet());
    return origins.size() == 1 ? origins.stream().findFirst() : Optional.empty();
  }
}
