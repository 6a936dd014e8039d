package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * A probe or its answer.
 *
 * @param kind what the receiver does with it
 * @param sequence chosen by the node that starts the probe and repeated in answers
 * @param subject the VM to probe, in indirect probes and their answers; otherwise empty
 * @param updates statements passed on, the first of them about the sender
 * @param digest what the sender knows of the configuration
 */
public record MembershipMessage(
    Kind kind, long sequence, String subject, ImmutableList<MemberUpdate> updates, Digest digest) {

  /** What the receiver of a message does with it. */
  public enum Kind {
    /** Asks for an answer. */
    PROBE,
    /** Answers a probe. */
    ANSWER,
    /** Asks the receiver to probe the subject on the sender's behalf. */
    INDIRECT_PROBE,
    /** Tells that the subject answered the receiver's indirect probe. */
    INDIRECT_ANSWER
  }

  /** Checks the fields. */
  public MembershipMessage {
    checkNotNull(kind, "kind");
    checkNotNull(subject, "subject");
    checkNotNull(updates, "updates");
    checkNotNull(digest, "digest");
  }
}
