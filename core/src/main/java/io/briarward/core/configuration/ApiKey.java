package io.briarward.core.configuration;

import com.google.common.collect.ImmutableSet;
import java.util.regex.Pattern;

/**
 * A key that an organisation's callers present, stored as its hash.
 *
 * @param id the key's public name, used to withdraw it
 * @param organisation the id of the organisation that requests with this key run for
 * @param sha256 the SHA-256 of the secret, in 64 lower-case hexadecimal digits
 * @param scopes what the key grants
 */
public record ApiKey(String id, String organisation, String sha256, ImmutableSet<Scope> scopes) {
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

  /** What a key grants. */
  public enum Scope {
    /** Live requests on the routes of the configuration. */
    CALL,
    /** Rollouts and weight announcements. */
    TRAIN
  }

  /** Checks the fields. */
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
