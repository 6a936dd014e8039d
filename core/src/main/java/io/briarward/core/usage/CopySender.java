package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sends the changes of a ledger to the peers that keep copies, one batch at a time to each.
 *
 * <p>Records that arrive while a batch is on its way, or shortly after the last one, go together
 * into the next one. A lost batch is sent again with everything changed since the last
 * acknowledgement; counters are cumulative, so repeats and reordering do no harm. Times are
 * milliseconds of one monotonic clock. Not thread-safe.
 */
public final class CopySender {
  private final UsageSettings settings;
  private final String incarnation;
  private final UsageLedger ledger;
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private long flushedSequence;

  private CopySender(UsageSettings settings, String incarnation, UsageLedger ledger) {
    this.settings = checkNotNull(settings, "settings");
    this.incarnation = checkNotNull(incarnation, "incarnation");
    this.ledger = checkNotNull(ledger, "ledger");
  }

  private static final class Peer {
    private long ackedSequence;
    private long announcedFlush;
    private long sentFlush;
    private boolean outstanding;
    private long sentMillis = Long.MIN_VALUE / 2;
    private int timeouts;
  }

  /**
   * A batch to be sent.
   *
   * @param peer the receiver, as given to {@link #setPeers}
   * @param batch what to send
   */
  public record Send(String peer, CopyBatch batch) {}

  /** Returns a sender without peers. */
  public static CopySender create(UsageSettings settings, String incarnation, UsageLedger ledger) {
    return new CopySender(settings, incarnation, ledger);
  }

  /** Returns whether any peer is to keep copies. */
  public boolean hasPeers() {
    return !peers.isEmpty();
  }

  /** Sets the peers; one that is new gets everything that the table service does not have. */
  public void setPeers(ImmutableSet<String> ids) {
    peers.keySet().retainAll(ids);
    for (String id : ids) {
      peers.computeIfAbsent(id, unused -> newPeer());
    }
  }

  /** Returns the batches to send now. */
  public ImmutableList<Send> poll(long nowMillis) {
    ImmutableList.Builder<Send> sends = ImmutableList.builder();
    peers.forEach(
        (id, peer) -> {
          expire(peer, nowMillis);
          boolean rested = nowMillis - peer.sentMillis >= settings.copyGapMillis();
          if (!peer.outstanding && rested && behind(peer)) {
            peer.outstanding = true;
            peer.sentFlush = flushedSequence;
            peer.sentMillis = nowMillis;
            sends.add(new Send(id, batch(peer)));
          }
        });
    return sends.build();
  }

  /** Passes on an acknowledgement, which names the last sequence number that the peer has. */
  public void onAck(String id, long sequence) {
    Peer peer = peers.get(id);
    if (peer == null) {
      return;
    }
    peer.outstanding = false;
    peer.timeouts = 0;
    peer.announcedFlush = peer.sentFlush;
    // A lower number than before means that the peer does not have what it once had.
    peer.ackedSequence = Math.max(sequence, flushedSequence);
  }

  /** Tells that the table service has every record up to {@code sequence}. */
  public void onFlushed(long sequence) {
    flushedSequence = Math.max(flushedSequence, sequence);
    peers.values().forEach(peer -> peer.ackedSequence = Math.max(peer.ackedSequence, sequence));
  }

  /** Returns up to which sequence number the table service has everything. */
  public long flushedSequence() {
    return flushedSequence;
  }

  /**
   * Returns the last sequence number that outlives this VM: one that the table service has, or that
   * at least {@code copies} peers have.
   */
  public long durableSequence(int copies) {
    if (peers.size() < copies) {
      return flushedSequence;
    }
    return peers.values().stream()
        .map(peer -> peer.ackedSequence)
        .sorted((a, b) -> Long.compare(b, a))
        .skip(copies - 1L)
        .findFirst()
        .map(acked -> Math.max(acked, flushedSequence))
        .orElse(flushedSequence);
  }

  /** Returns the peers that let at least {@code timeouts} batches in a row pass unanswered. */
  public ImmutableSet<String> silentPeers(int timeouts) {
    ImmutableSet.Builder<String> silent = ImmutableSet.builder();
    peers.forEach(
        (id, peer) -> {
          if (peer.timeouts >= timeouts) {
            silent.add(id);
          }
        });
    return silent.build();
  }

  private boolean behind(Peer peer) {
    return peer.ackedSequence < ledger.lastSequence() || peer.announcedFlush < flushedSequence;
  }

  private Peer newPeer() {
    Peer peer = new Peer();
    peer.ackedSequence = flushedSequence;
    peer.announcedFlush = flushedSequence;
    return peer;
  }

  private void expire(Peer peer, long nowMillis) {
    long waitMillis = settings.copyTimeoutMillis() << Math.min(peer.timeouts, 5);
    if (peer.outstanding && nowMillis - peer.sentMillis >= waitMillis) {
      peer.outstanding = false;
      peer.timeouts++;
    }
  }

  private CopyBatch batch(Peer peer) {
    return new CopyBatch(
        incarnation,
        peer.ackedSequence,
        ledger.lastSequence(),
        flushedSequence,
        ledger.changedAfter(peer.ackedSequence));
  }
}
