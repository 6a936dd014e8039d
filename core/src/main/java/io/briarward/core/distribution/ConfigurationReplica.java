package io.briarward.core.distribution;

import com.google.common.collect.ImmutableList;
import io.briarward.core.membership.Digest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The version that a node holds, which only grows, with the deltas that led to it.
 *
 * <p>Not thread-safe.
 */
final class ConfigurationReplica {
  private static final int MAX_KEPT_DELTAS = 128;

  private final Deque<ConfigurationDelta> deltas = new ArrayDeque<>();
  private Optional<ConfigurationDocument> held = Optional.empty();

  Optional<ConfigurationDocument> held() {
    return held;
  }

  long version() {
    return held.map(ConfigurationDocument::version).orElse(Digest.NO_VERSION);
  }

  /** Takes over a whole document if it is newer, and returns whether it was. */
  boolean install(ConfigurationDocument document) {
    if (document.version() <= version()) {
      return false;
    }
    deltas.clear();
    held = Optional.of(document);
    return true;
  }

  /** Applies those deltas that follow the held version, and returns whether there were any. */
  boolean install(Iterable<ConfigurationDelta> candidates) {
    boolean changed = false;
    for (ConfigurationDelta delta : candidates) {
      Optional<ConfigurationDocument> next = held.flatMap(document -> document.apply(delta));
      if (next.isPresent()) {
        held = next;
        keep(delta);
        changed = true;
      }
    }
    return changed;
  }

  /** Returns all deltas after {@code version}, or empty when some are no longer kept. */
  Optional<ImmutableList<ConfigurationDelta>> deltasAfter(long version) {
    if (version >= version()) {
      return Optional.of(ImmutableList.of());
    }
    if (deltas.isEmpty() || deltas.getFirst().version() > version + 1) {
      return Optional.empty();
    }
    return Optional.of(
        deltas.stream()
            .filter(delta -> delta.version() > version)
            .collect(ImmutableList.toImmutableList()));
  }

  private void keep(ConfigurationDelta delta) {
    deltas.addLast(delta);
    if (deltas.size() > MAX_KEPT_DELTAS) {
      deltas.removeFirst();
    }
  }
}
