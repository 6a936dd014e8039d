package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sends the changes of a ledger to the peers that keep copies, with one batch in flight to each.
 *
 * <p>Records added while a batch is in flight, or shortly after one was sent, are combined into the
 * next batch. After a timeout the next batch contains all changes since the last acknowledgement;
 * since counters are cumulative, duplicates and reordering are harmless. Times are in milliseconds
 * of one monotonic clock. Not thread-safe.
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
    private long ackedFlushedSequence;
    private long sentFlushedSequence;
    private boolean awaitingAck;
    private long sentMillis = Long.MIN_VALUE / 2;
    private int timeouts;
  }

  /**
   * A batch to send.
   *
   * @param peer the receiver, as given to {@link #setPeers}
   * @param batch the batch
   */
  public record Send(String peer, CopyBatch batch) {}

  /** Returns a sender without peers. */
  public static CopySender create(UsageSettings settings, String incarnation, UsageLedger ledger) {
    return new CopySender(settings, incarnation, ledger);
  }

  /** Returns whether any peer is set. */
  public boolean hasPeers() {
    return !peers.isEmpty();
  }

  /** Sets the peers; a new peer is sent every change that is not in the table service. */
  public void setPeers(ImmutableSet<String> ids) {
    peers.keySet().retainAll(ids);
    for (String id : ids) {
      peers.computeIfAbsent(id, unused -> newPeer());
    }
  }

  /** Returns the batches that are due. */
  public ImmutableList<Send> poll(long nowMillis) {
    ImmutableList.Builder<Send> sends = ImmutableList.builder();
    peers.forEach(
        (id, peer) -> {
          checkTimeout(peer, nowMillis);
          boolean gapElapsed = nowMillis - peer.sentMillis >= settings.copyGapMillis();
          if (!peer.awaitingAck && gapElapsed && isBehind(peer)) {
            peer.awaitingAck = true;
            peer.sentFlushedSequence = flushedSequence;
            peer.sentMillis = nowMillis;
            sends.add(new Send(id, batch(peer)));
          }
        });
    return sends.build();
  }

  /** Handles an acknowledgement of all records up to {@code sequence} by a peer. */
  public void onAck(String id, long sequence) {
    Peer peer = peers.get(id);
    if (peer == null) {
      return;
    }
    peer.awaitingAck = false;
    peer.timeouts = 0;
    peer.ackedFlushedSequence = peer.sentFlushedSequence;
    // May be lower than before: the peer has lost records that it had acknowledged.
    peer.ackedSequence = Math.max(sequence, flushedSequence);
  }

  /** Records that the table service has all records up to {@code sequence}. */
  public void onFlushed(long sequence) {
    flushedSequence = Math.max(flushedSequence, sequence);
    peers.values().forEach(peer -> peer.ackedSequence = Math.max(peer.ackedSequence, sequence));
  }

  /** Returns the sequence number up to which the table service has all records. */
  public long flushedSequence() {
    return flushedSequence;
  }

  /**
   * Returns the last sequence number that is durable if this VM fails: all records up to it are in
   * the table service or on at least {@code copies} peers.
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

  /** Returns the peers that have not answered at least {@code timeouts} batches in a row. */
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

  private boolean isBehind(Peer peer) {
    return peer.ackedSequence < ledger.lastSequence()
        || peer.ackedFlushedSequence < flushedSequence;
  }

  private Peer newPeer() {
    Peer peer = new Peer();
    peer.ackedSequence = flushedSequence;
    peer.ackedFlushedSequence = flushedSequence;
    return peer;
  }

  private void checkTimeout(Peer peer, long nowMillis) {
    long timeoutMillis = settings.copyTimeoutMillis() << Math.min(peer.timeouts, 5);
    if (peer.awaitingAck && nowMillis - peer.sentMillis >= timeoutMillis) {
      peer.awaitingAck = false;
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
