package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * How a change ended.
 *
 * @param kind the outcome
 * @param version the accepted version; in a conflict, the version found, 0 when unknown
 * @param delta leads to the accepted version; present only when accepted
 */
public record ChangeResult(Kind kind, long version, Optional<ConfigurationDelta> delta) {
  /** The outcome of a change. */
  public enum Kind {
    /** The store holds the new version. */
    ACCEPTED,
    /** Another change came first; this one was not and will not be applied. */
    CONFLICT,
    /** The store did not answer and the change was not sent. */
    NOT_SENT,
    /** The store did not answer after the change was sent; it may be applied or not. */
    UNKNOWN
  }

  /** Checks the fields. */
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

  /** Returns the deltas to take over, at most one. */
  public ImmutableList<ConfigurationDelta> deltas() {
    return delta.map(ImmutableList::of).orElse(ImmutableList.of());
  }
}
