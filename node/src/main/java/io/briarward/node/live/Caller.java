package io.briarward.node.live;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.configuration.ApiKey;
import java.util.Optional;

/**
 * Whom a request runs for.
 *
 * @param organisation the id of the organisation
 * @param key the key presented, empty on open routes
 * @param secret the secret presented, which no upstream may see
 */
public record Caller(String organisation, Optional<ApiKey> key, Optional<String> secret) {
  /** Checks the fields. */
  public Caller {
    checkNotNull(organisation, "organisation");
    checkNotNull(key, "key");
    checkNotNull(secret, "secret");
  }

  /** Returns a text without the secret. */
  @Override
  public String toString() {
    return "Caller[" + organisation + ", " + key.map(ApiKey::id).orElse("open") + "]";
  }
}
