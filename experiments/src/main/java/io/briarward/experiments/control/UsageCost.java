package io.briarward.experiments.control;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.usage.CopyBatch;
import io.briarward.core.usage.CopyHolder;
import io.briarward.core.usage.CopySender;
import io.briarward.core.usage.UsageAmounts;
import io.briarward.core.usage.UsageKey;
import io.briarward.core.usage.UsageLedger;
import io.briarward.core.usage.UsageOwner;
import io.briarward.core.usage.UsageSettings;
import io.briarward.experiments.Experiment;
import io.briarward.node.usage.UsageCodec;
import io.briarward.wire.proto.PeerMessage;
import java.io.PrintStream;
import java.util.Random;

/** Measures the cost of counting, copying and writing usage for a node and the table service. */
public final class UsageCost implements Experiment {
  private static final int REQUESTS = 400_000;
  private static final int WARM_UP_REQUESTS = 100_000;
  private static final int REQUESTS_PER_SECOND = 55;
  private static final int COPIES = 2;
  private static final int COUNTERS = 200_000;
  private static final int FRAME_BYTES = 4 + 40;
  private static final String INCARNATION = "8f14e45f-ceea-467f-a1b2-52e9d1f5c0aa";
  private static final long WRITE_MILLIS = 3_600_000;
  private static final int[] NODES = {10, 100, 1_000};
  private static final UsageSettings SETTINGS = UsageSettings.defaults();

  @Override
  public void run(long seed, PrintStream out) {
    out.printf("seed %d%n", seed);
    measureCopies(new Random(seed), WARM_UP_REQUESTS);
    CopyCost copies = measureCopies(new Random(seed), REQUESTS);
    double perRequest = (double) copies.bytes / REQUESTS * COPIES;
    out.printf(
        "copies: %.0f ns of CPU and %.0f bytes per request and %.2f requests per batch,"
            + " %.0f bytes/s at %d requests/s a node%n",
        (double) copies.nanos / REQUESTS,
        perRequest,
        (double) REQUESTS / copies.batches,
        perRequest * REQUESTS_PER_SECOND,
        REQUESTS_PER_SECOND);
    out.printf("memory: %.0f bytes per counter%n", bytesPerCounter());
    WriteCost writes = measureWrites(new Random(seed));
    out.printf("%8s %12s %16s %16s%n", "nodes", "writes/s", "bytes/s (all)", "bytes/s a node");
    for (int nodes : NODES) {
      double seconds = WRITE_MILLIS / 1_000.0;
      out.printf(
          "%8d %12.2f %16.0f %16.0f%n",
          nodes,
          nodes * writes.count / seconds,
          nodes * writes.bytes / seconds,
          writes.bytes / seconds);
    }
  }

  private record CopyCost(long nanos, long bytes, long batches) {}

  private record WriteCost(long count, long bytes) {}

  /** Copies records with random arrival times to one peer, with the minimum gap between batches. */
  private static CopyCost measureCopies(Random random, int requests) {
    UsageLedger ledger = UsageLedger.create(SETTINGS, 0);
    CopySender sender = CopySender.create(SETTINGS, INCARNATION, ledger);
    sender.setPeers(ImmutableSet.of("vm-2"));
    CopyHolder holder = CopyHolder.create(SETTINGS);
    long bytes = 0;
    long batches = 0;
    double arrivalMillis = 0;
    long startNanos = System.nanoTime();
    for (int i = 0; i < requests; i++) {
      double gapMillis = -Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_SECOND;
      // Pending records are sent when the gap ends, if that is before the next record arrives.
      if (gapMillis >= SETTINGS.copyGapMillis()) {
        long sent = sendCopies(sender, holder, (long) arrivalMillis + SETTINGS.copyGapMillis());
        bytes += sent;
        batches += sent > 0 ? 1 : 0;
      }
      arrivalMillis += gapMillis;
      ledger.record(0, key(random), new UsageAmounts(1, 1_000, 300, 200, 900));
      long sent = sendCopies(sender, holder, (long) arrivalMillis);
      bytes += sent;
      batches += sent > 0 ? 1 : 0;
    }
    return new CopyCost(System.nanoTime() - startNanos, bytes, batches);
  }

  private static long sendCopies(CopySender sender, CopyHolder holder, long nowMillis) {
    long bytes = 0;
    for (CopySender.Send send : sender.poll(nowMillis)) {
      PeerMessage message = withEnvelope(UsageCodec.encode(send.batch()));
      PeerMessage answer = withEnvelope(UsageCodec.encodeAck(accept(holder, message, nowMillis)));
      bytes += 2 * FRAME_BYTES + message.getSerializedSize() + answer.getSerializedSize();
      sender.onAck(send.peer(), answer.getUsage().getAck().getSequence());
    }
    return bytes;
  }

  private static PeerMessage withEnvelope(PeerMessage message) {
    return message.toBuilder().setSenderVmId("vm-1000").setCorrelationId(1_000_000).build();
  }

  private static long accept(CopyHolder holder, PeerMessage message, long nowMillis) {
    CopyBatch batch = UsageCodec.decode(message.getUsage().getCopy());
    return holder.accept(batch, nowMillis);
  }

  private static UsageKey key(Random random) {
    return new UsageKey(
        "organisation-" + random.nextInt(8),
        random.nextBoolean() ? "recipe-llm" : "order-desk",
        random.nextBoolean() ? "live" : "rollout");
  }

  private static double bytesPerCounter() {
    long before = usedBytes();
    UsageLedger ledger = UsageLedger.create(SETTINGS, 0);
    for (int i = 0; i < COUNTERS; i++) {
      ledger.record(0, new UsageKey("organisation-" + i, "recipe-llm", "live"), UsageAmounts.ZERO);
    }
    long after = usedBytes();
    return (double) (after - before) / Math.max(1, ledger.lastSequence());
  }

  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    System.gc();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static WriteCost measureWrites(Random random) {
    VirtualTime time = new VirtualTime();
    CountingStore store = new CountingStore(time, random);
    UsageLedger ledger = UsageLedger.create(SETTINGS, 0);
    CopySender sender = CopySender.create(SETTINGS, INCARNATION, ledger);
    UsageOwner owner = UsageOwner.create(SETTINGS, INCARNATION, ledger, sender);
    for (long i = 0; i < WRITE_MILLIS; i += 100) {
      if (owner.registered()) {
        owner.record(i, key(random), new UsageAmounts(1, 1_000, 300, 200, 900));
      }
      owner
          .poll(time.nowMillis(), time.nowMillis())
          .ifPresent(
              commit ->
                  store.commit(
                      commit.transaction(), result -> owner.onCommit(commit.operation(), result)));
      time.advanceBy(100);
    }
    return new WriteCost(store.writes(), store.bytes());
  }
}
