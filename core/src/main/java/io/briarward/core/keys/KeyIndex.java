package io.briarward.core.keys;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.Configuration;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The keys of a configuration, indexed by the hash of their secrets.
 *
 * <p>Secrets are hashed before lookup, so the duration of a lookup reveals nothing about the
 * characters of a stored secret. Immutable and thread-safe. Example:
 *
 * <pre>{@code
 * Optional<ApiKey> key = KeyIndex.of(configuration).find(secret);
 * }</pre>
 */
public final class KeyIndex {
  private final ImmutableMap<String, ApiKey> keysByHash;
  private final ImmutableSet<String> ids;

  private KeyIndex(ImmutableMap<String, ApiKey> keysByHash, ImmutableSet<String> ids) {
    this.keysByHash = keysByHash;
    this.ids = ids;
  }

  /** Returns an index of the keys of {@code configuration}. */
  public static KeyIndex of(Configuration configuration) {
    checkNotNull(configuration, "configuration");
    ImmutableMap.Builder<String, ApiKey> keys = ImmutableMap.builder();
    ImmutableSet.Builder<String> ids = ImmutableSet.builder();
    for (ApiKey key : configuration.keys()) {
      keys.put(key.sha256(), key);
      ids.add(key.id());
    }
    return new KeyIndex(keys.buildOrThrow(), ids.build());
  }

  /** Returns the key with the given secret, or empty if there is none. */
  public Optional<ApiKey> find(String secret) {
    checkNotNull(secret, "secret");
    String hash = Hashing.sha256().hashString(secret, StandardCharsets.UTF_8).toString();
    return Optional.ofNullable(keysByHash.get(hash));
  }

  /** Returns whether the configuration contains a key that equals {@code key} in all components. */
  public boolean grants(ApiKey key) {
    checkNotNull(key, "key");
    return key.equals(keysByHash.get(key.sha256()));
  }

  /** Returns the ids of all keys. */
  public ImmutableSet<String> ids() {
    return ids;
  }
}
