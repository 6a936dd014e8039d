package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.membership.Digest;
import java.util.Optional;

/**
 * A message that spreads versions.
 *
 * @param kind what the receiver does with it
 * @param digest what the sender holds
 * @param afterVersion in a request, the version that the sender holds
 * @param deltas in content, consecutive deltas
 * @param whole in content, a whole document for a receiver that is too far behind
 */
public record ConfigurationMessage(
    Kind kind,
    Digest digest,
    long afterVersion,
    ImmutableList<ConfigurationDelta> deltas,
    Optional<Whole> whole) {

  /** What the receiver of a message does with it. */
  public enum Kind {
    /** Tells of a new version. */
    ANNOUNCEMENT,
    /** Asks for what follows {@code afterVersion}. */
    REQUEST,
    /** Brings deltas or a whole document. */
    CONTENT
  }

  /**
   * A whole document.
   *
   * @param version its version
   * @param json its text
   * @param checksum its checksum
   */
  public record Whole(long version, String json, String checksum) {}

  /** Checks the fields. */
  public ConfigurationMessage {
    checkNotNull(kind, "kind");
    checkNotNull(digest, "digest");
    checkNotNull(deltas, "deltas");
    checkNotNull(whole, "whole");
  }

  static ConfigurationMessage announcement(Digest digest) {
    return new ConfigurationMessage(
        Kind.ANNOUNCEMENT, digest, digest.version(), ImmutableList.of(), Optional.empty());
  }

  static ConfigurationMessage request(Digest digest, long afterVersion) {
    return new ConfigurationMessage(
        Kind.REQUEST, digest, afterVersion, ImmutableList.of(), Optional.empty());
  }

  static ConfigurationMessage content(
      Digest digest, ImmutableList<ConfigurationDelta> deltas, Optional<Whole> whole) {
    return new ConfigurationMessage(Kind.CONTENT, digest, digest.version(), deltas, whole);
  }
}
