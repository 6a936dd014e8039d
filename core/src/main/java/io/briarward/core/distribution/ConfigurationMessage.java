package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.membership.Digest;
import java.util.Optional;

/**
 * A message that distributes configuration versions between nodes.
 *
 * @param kind the kind of the message
 * @param digest the digest of the sender's configuration
 * @param afterVersion in a request, the version that the sender holds
 * @param deltas in content, consecutive deltas
 * @param whole in content, a whole document if the sender no longer has the deltas that the
 *     receiver lacks
 */
public record ConfigurationMessage(
    Kind kind,
    Digest digest,
    long afterVersion,
    ImmutableList<ConfigurationDelta> deltas,
    Optional<WholeDocument> whole) {

  /** The kind of a message. */
  public enum Kind {
    /** Announces a new version. */
    ANNOUNCEMENT,
    /** Requests the changes after {@code afterVersion}. */
    REQUEST,
    /** Contains deltas or a whole document. */
    CONTENT
  }

  /**
   * A whole document.
   *
   * @param version the version of the document
   * @param json the JSON text of the document
   * @param checksum the checksum of the document
   */
  public record WholeDocument(long version, String json, String checksum) {}

  /** Validates the components. */
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
      Digest digest, ImmutableList<ConfigurationDelta> deltas, Optional<WholeDocument> whole) {
    return new ConfigurationMessage(Kind.CONTENT, digest, digest.version(), deltas, whole);
  }
}
