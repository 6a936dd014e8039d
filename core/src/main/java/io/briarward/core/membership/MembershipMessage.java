package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * A probe or an answer to one.
 *
 * @param kind the kind of the message
 * @param sequence chosen by the node that starts the probe and repeated in its answers
 * @param subject the id of the VM to probe, in indirect probes and their answers; otherwise empty
 * @param updates disseminated updates, the first of which is about the sender
 * @param digest the digest of the sender's configuration
 */
public record MembershipMessage(
    Kind kind, long sequence, String subject, ImmutableList<MemberUpdate> updates, Digest digest) {

  /** The kind of a message. */
  public enum Kind {
    /** Requests an answer. */
    PROBE,
    /** Answers a probe. */
    ANSWER,
    /** Requests that the receiver probe the subject on the sender's behalf. */
    INDIRECT_PROBE,
    /** Reports that the subject answered an indirect probe requested by the receiver. */
    INDIRECT_ANSWER
  }

  /** Validates the components. */
  public MembershipMessage {
    checkNotNull(kind, "kind");
    checkNotNull(subject, "subject");
    checkNotNull(updates, "updates");
    checkNotNull(digest, "digest");
  }
}
