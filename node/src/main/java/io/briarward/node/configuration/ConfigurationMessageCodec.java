package io.briarward.node.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.distribution.ConfigurationMessage;
import io.briarward.core.distribution.DeltaCodec;
import io.briarward.node.membership.MembershipCodec;
import io.briarward.wire.proto.WholeConfiguration;
import java.util.Optional;

/** Converts configuration messages to and from protobuf. Thread-safe. */
public final class ConfigurationMessageCodec {
  private ConfigurationMessageCodec() {}

  /** Encodes a message. */
  public static io.briarward.wire.proto.ConfigurationMessage encode(ConfigurationMessage message) {
    checkNotNull(message, "message");
    io.briarward.wire.proto.ConfigurationMessage.Builder builder =
        io.briarward.wire.proto.ConfigurationMessage.newBuilder()
            .setKind(
                io.briarward.wire.proto.ConfigurationMessage.Kind.valueOf(message.kind().name()))
            .setDigest(MembershipCodec.encodeDigest(message.digest()))
            .setAfterVersionPlusOne(message.afterVersion() + 1);
    message.deltas().forEach(delta -> builder.addDeltas(DeltaCodec.print(delta)));
    message.whole().ifPresent(whole -> builder.setWhole(encodeWhole(whole)));
    return builder.build();
  }

  /**
   * Decodes a message.
   *
   * @throws IllegalArgumentException if a field is malformed
   */
  public static ConfigurationMessage decode(io.briarward.wire.proto.ConfigurationMessage message) {
    return new ConfigurationMessage(
        ConfigurationMessage.Kind.valueOf(message.getKind().name()),
        MembershipCodec.decodeDigest(message.getDigest()),
        message.getAfterVersionPlusOne() - 1,
        message.getDeltasList().stream()
            .map(DeltaCodec::parse)
            .collect(ImmutableList.toImmutableList()),
        message.hasWhole() ? Optional.of(decodeWhole(message.getWhole())) : Optional.empty());
  }

  private static WholeConfiguration encodeWhole(ConfigurationMessage.WholeDocument whole) {
    return WholeConfiguration.newBuilder()
        .setVersion(whole.version())
        .setJson(whole.json())
        .setChecksum(whole.checksum())
        .build();
  }

  private static ConfigurationMessage.WholeDocument decodeWhole(WholeConfiguration whole) {
    return new ConfigurationMessage.WholeDocument(
        whole.getVersion(), whole.getJson(), whole.getChecksum());
  }
}
