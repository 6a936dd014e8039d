package io.briarward.node.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.membership.Digest;
import io.briarward.core.membership.MemberState;
import io.briarward.core.membership.MemberUpdate;
import io.briarward.core.membership.MembershipMessage;
import io.briarward.wire.proto.ConfigurationDigest;
import io.briarward.wire.proto.MemberStatement;
import java.util.Optional;

/** Converts membership messages to and from their protobuf form. Thread-safe. */
public final class MembershipCodec {
  private MembershipCodec() {}

  /** Returns the protobuf form of a message. */
  public static io.briarward.wire.proto.MembershipMessage encode(MembershipMessage message) {
    checkNotNull(message, "message");
    io.briarward.wire.proto.MembershipMessage.Builder builder =
        io.briarward.wire.proto.MembershipMessage.newBuilder()
            .setKind(io.briarward.wire.proto.MembershipMessage.Kind.valueOf(message.kind().name()))
            .setSequence(message.sequence())
            .setSubject(message.subject())
            .setDigest(encodeDigest(message.digest()));
    message.updates().forEach(update -> builder.addStatements(encodeUpdate(update)));
    return builder.build();
  }

  /**
   * Returns the message of a protobuf form.
   *
   * @throws IllegalArgumentException if an enum field has a value unknown to this version
   */
  public static MembershipMessage decode(io.briarward.wire.proto.MembershipMessage message) {
    return new MembershipMessage(
        MembershipMessage.Kind.valueOf(message.getKind().name()),
        message.getSequence(),
        message.getSubject(),
        message.getStatementsList().stream()
            .map(MembershipCodec::decodeUpdate)
            .collect(ImmutableList.toImmutableList()),
        decodeDigest(message.getDigest()));
  }

  /** Returns the protobuf form of a digest. */
  public static ConfigurationDigest encodeDigest(Digest digest) {
    ConfigurationDigest.Builder builder =
        ConfigurationDigest.newBuilder()
            .setVersionPlusOne(digest.version() + 1)
            .setSettled(digest.settled());
    digest.evidenceAgeMillis().ifPresent(builder::setEvidenceAgeMillis);
    return builder.build();
  }

  /** Returns the digest of a protobuf form. */
  public static Digest decodeDigest(ConfigurationDigest digest) {
    Optional<Long> ageMillis =
        digest.hasEvidenceAgeMillis()
            ? Optional.of(digest.getEvidenceAgeMillis())
            : Optional.empty();
    return new Digest(digest.getVersionPlusOne() - 1, ageMillis, digest.getSettled());
  }

  private static MemberStatement encodeUpdate(MemberUpdate update) {
    return MemberStatement.newBuilder()
        .setVmId(update.vmId())
        .setState(MemberStatement.State.valueOf(update.state().name()))
        .setIncarnation(update.incarnation())
        .build();
  }

  private static MemberUpdate decodeUpdate(MemberStatement statement) {
    return new MemberUpdate(
        statement.getVmId(),
        MemberState.valueOf(statement.getState().name()),
        statement.getIncarnation());
  }
}
