package io.briarward.core.keys;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.Configuration;

/** Finds the keys that a change of the configuration invalidates. */
public final class KeyChanges {
  private KeyChanges() {}

  /**
   * Returns the ids of the keys of {@code before} that {@code after} does not contain unchanged.
   *
   * <p>These are withdrawn keys and keys whose secret, organisation or set of scopes has changed.
   * The caller must abort requests and streams of these keys that are in flight.
   */
  public static ImmutableSet<String> withdrawn(Configuration before, Configuration after) {
    checkNotNull(before, "before");
    KeyIndex granted = KeyIndex.of(after);
    return before.keys().stream()
        .filter(key -> !granted.grants(key))
        .map(ApiKey::id)
        .collect(ImmutableSet.toImmutableSet());
  }
}
