package io.briarward.operator;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.configuration.ApiKey;
import java.nio.charset.StandardCharsets;

/** A builder of API keys. Not thread-safe. */
public final class KeyBuilder {
  private final String id;
  private String organisation = "";
  private String sha256 = "";
  private final ImmutableSet.Builder<ApiKey.Scope> scopes = ImmutableSet.builder();

  KeyBuilder(String id) {
    this.id = id;
  }

  /** Sets the organisation that requests with this key are attributed to. */
  @CanIgnoreReturnValue
  public KeyBuilder organisation(String organisationId) {
    this.organisation = organisationId;
    return this;
  }

  /** Sets the secret, of which the configuration holds only the SHA-256 hash. */
  @CanIgnoreReturnValue
  public KeyBuilder secret(String secret) {
    return sha256(Hashing.sha256().hashString(secret, StandardCharsets.UTF_8).toString());
  }

  /** Sets the SHA-256 hash of the secret, as 64 lower-case hexadecimal digits. */
  @CanIgnoreReturnValue
  public KeyBuilder sha256(String hash) {
    this.sha256 = hash;
    return this;
  }

  /** Allows live requests. */
  @CanIgnoreReturnValue
  public KeyBuilder mayCall() {
    scopes.add(ApiKey.Scope.CALL);
    return this;
  }

  /** Allows rollouts and weight announcements. */
  @CanIgnoreReturnValue
  public KeyBuilder mayTrain() {
    scopes.add(ApiKey.Scope.TRAIN);
    return this;
  }

  ApiKey build() {
    return new ApiKey(id, organisation, sha256, scopes.build());
  }
}
