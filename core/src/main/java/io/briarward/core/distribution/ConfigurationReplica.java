package io.briarward.core.distribution;

import com.google.common.collect.ImmutableList;
import io.briarward.core.membership.Digest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * A node's copy of the configuration, whose version only increases, with its most recent deltas.
 *
 * <p>Not thread-safe.
 */
final class ConfigurationReplica {
  private static final int MAX_RETAINED_DELTAS = 128;

  private final Deque<ConfigurationDelta> deltas = new ArrayDeque<>();
  private Optional<ConfigurationDocument> held = Optional.empty();

  /** Returns the document that the node holds, empty before the first is installed. */
  Optional<ConfigurationDocument> held() {
    return held;
  }

  /** Returns the version that the node holds, or {@link Digest#NO_VERSION}. */
  long version() {
    return held.map(ConfigurationDocument::version).orElse(Digest.NO_VERSION);
  }

  /** Installs a whole document if it is newer than the current one, and returns whether it was. */
  boolean install(ConfigurationDocument document) {
    if (document.version() <= version()) {
      return false;
    }
    deltas.clear();
    held = Optional.of(document);
    return true;
  }

  /** Applies those deltas that follow the current version, and returns whether there were any. */
  boolean install(Iterable<ConfigurationDelta> candidates) {
    boolean changed = false;
    for (ConfigurationDelta delta : candidates) {
      Optional<ConfigurationDocument> next = held.flatMap(document -> document.apply(delta));
      if (next.isPresent()) {
        held = next;
        retain(delta);
        changed = true;
      }
    }
    return changed;
  }

  /** Returns all deltas after {@code version}, or empty if some of them are no longer retained. */
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

  private void retain(ConfigurationDelta delta) {
    deltas.addLast(delta);
    if (deltas.size() > MAX_RETAINED_DELTAS) {
      deltas.removeFirst();
    }
  }
}
