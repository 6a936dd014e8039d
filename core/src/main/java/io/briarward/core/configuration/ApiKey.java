package io.briarward.core.configuration;

import com.google.common.collect.ImmutableSet;
import java.util.regex.Pattern;

/**
 * An API key of an organisation, of which only the hash is stored.
 *
 * @param id the public id of the key, by which it is withdrawn
 * @param organisation the id of the organisation that requests with this key are attributed to
 * @param sha256 the SHA-256 hash of the secret, in 64 lower-case hexadecimal digits
 * @param scopes the scopes that the key grants, at least one
 */
public record ApiKey(String id, String organisation, String sha256, ImmutableSet<Scope> scopes) {
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

  /** A set of requests that a key permits. */
  public enum Scope {
    /** Live requests on the routes of the configuration. */
    CALL,
    /** Rollouts and weight announcements. */
    TRAIN
  }

  /** Validates the components. */
  public ApiKey {
    Checks.id(id, "id");
    Checks.id(organisation, "organisation");
    Checks.check(
        sha256 != null && SHA256.matcher(sha256).matches(),
        "sha256",
        "the value",
        "64 lower-case hexadecimal digits");
    Checks.check(scopes != null && !scopes.isEmpty(), "scopes", scopes, "at least one scope");
  }
}
