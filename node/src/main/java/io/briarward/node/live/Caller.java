package io.briarward.node.live;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.configuration.ApiKey;
import java.util.Optional;

/**
 * The caller of a request.
 *
 * @param organisation the id of the organisation that is billed
 * @param key the API key that authorised the request; empty on open routes
 * @param secret the secret in the request, which must not reach any upstream
 */
public record Caller(String organisation, Optional<ApiKey> key, Optional<String> secret) {
  /** Validates the components. */
  public Caller {
    checkNotNull(organisation, "organisation");
    checkNotNull(key, "key");
    checkNotNull(secret, "secret");
  }

  /** Returns a description without the secret. */
  @Override
  public String toString() {
    return "Caller[" + organisation + ", " + key.map(ApiKey::id).orElse("open") + "]";
  }
}
