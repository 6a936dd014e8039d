package io.briarward.core.keys;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.Configuration;

/** Finds the keys that stop working between two configurations. */
public final class KeyChanges {
  private KeyChanges() {}

  /**
   * Returns the ids of keys that {@code after} no longer grants as {@code before} did.
   *
   * <p>These are withdrawn keys and keys with another secret, organisation or set of scopes.
   * Running requests and streams of these keys are to be cut off.
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
