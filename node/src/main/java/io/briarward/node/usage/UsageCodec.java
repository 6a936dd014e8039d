package io.briarward.node.usage;

import static com.google.common.collect.ImmutableList.toImmutableList;

import io.briarward.core.usage.CopyBatch;
import io.briarward.core.usage.CopyEntry;
import io.briarward.core.usage.UsageAmounts;
import io.briarward.core.usage.UsageKey;
import io.briarward.wire.proto.PeerMessage;
import io.briarward.wire.proto.UsageCopy;
import io.briarward.wire.proto.UsageCopyAck;
import io.briarward.wire.proto.UsageCounter;
import io.briarward.wire.proto.UsageMessage;

/** Converts batches of usage copies to and from protobuf messages. */
public final class UsageCodec {
  private UsageCodec() {}

  /** Encodes a batch as a peer message. */
  public static PeerMessage encode(CopyBatch batch) {
    UsageCopy.Builder copy =
        UsageCopy.newBuilder()
            .setIncarnation(batch.incarnation())
            .setAfterSequence(batch.afterSequence())
            .setSequence(batch.sequence())
            .setFlushedSequence(batch.flushedSequence());
    batch.entries().forEach(entry -> copy.addCounters(toCounter(entry)));
    return PeerMessage.newBuilder().setUsage(UsageMessage.newBuilder().setCopy(copy)).build();
  }

  /** Returns a message that acknowledges all copies up to a sequence number, inclusive. */
  public static PeerMessage encodeAck(long sequence) {
    UsageCopyAck ack = UsageCopyAck.newBuilder().setSequence(sequence).build();
    return PeerMessage.newBuilder().setUsage(UsageMessage.newBuilder().setAck(ack)).build();
  }

  /** Decodes the batch in a message. */
  public static CopyBatch decode(UsageCopy copy) {
    return new CopyBatch(
        copy.getIncarnation(),
        copy.getAfterSequence(),
        copy.getSequence(),
        copy.getFlushedSequence(),
        copy.getCountersList().stream().map(UsageCodec::toEntry).collect(toImmutableList()));
  }

  private static UsageCounter toCounter(CopyEntry entry) {
    UsageAmounts amounts = entry.amounts();
    return UsageCounter.newBuilder()
        .setWindowStartMillis(entry.windowStartMillis())
        .setOrganisation(entry.key().organisation())
        .setService(entry.key().service())
        .setKind(entry.key().kind())
        .setRequests(amounts.requests())
        .setWeightedThousandths(amounts.weightedThousandths())
        .setPromptTokens(amounts.promptTokens())
        .setCompletionTokens(amounts.completionTokens())
        .setUpstreamMillis(amounts.upstreamMillis())
        .setSequence(entry.sequence())
        .build();
  }

  private static CopyEntry toEntry(UsageCounter counter) {
    return new CopyEntry(
        counter.getWindowStartMillis(),
        new UsageKey(counter.getOrganisation(), counter.getService(), counter.getKind()),
        new UsageAmounts(
            counter.getRequests(),
            counter.getWeightedThousandths(),
            counter.getPromptTokens(),
            counter.getCompletionTokens(),
            counter.getUpstreamMillis()),
        counter.getSequence());
  }
}
