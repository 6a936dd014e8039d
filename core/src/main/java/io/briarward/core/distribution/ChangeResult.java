package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The result of a change to the configuration.
 *
 * @param kind the outcome
 * @param version the accepted version, or the version found if there was a conflict; otherwise 0
 * @param delta the delta to the accepted version; present only if the change was accepted
 */
public record ChangeResult(Kind kind, long version, Optional<ConfigurationDelta> delta) {
  /** The outcome of a change. */
  public enum Kind {
    /** The store holds the new version. */
    ACCEPTED,
    /** Another change was accepted first; this one was not and never will be applied. */
    CONFLICT,
    /** The store did not answer before the change was sent, so the change was not applied. */
    NOT_SENT,
    /** The store did not answer after the change was sent, so the change may have been applied. */
    UNKNOWN
  }

  /** Validates the components. */
  public ChangeResult {
    checkNotNull(kind, "kind");
    checkNotNull(delta, "delta");
  }

  static ChangeResult accepted(ConfigurationDelta delta) {
    return new ChangeResult(Kind.ACCEPTED, delta.version(), Optional.of(delta));
  }

  static ChangeResult conflict(long version) {
    return new ChangeResult(Kind.CONFLICT, version, Optional.empty());
  }

  static ChangeResult failed(Kind kind) {
    return new ChangeResult(kind, 0, Optional.empty());
  }

  /** Returns the delta to the accepted version as a list, empty if the change was not accepted. */
  public ImmutableList<ConfigurationDelta> deltas() {
    return delta.map(ImmutableList::of).orElse(ImmutableList.of());
  }
}
