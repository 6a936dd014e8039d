package io.briarward.node.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.usage.CopyFlusher;
import io.briarward.core.usage.CopyHolder;
import io.briarward.core.usage.CopyPlacement;
import io.briarward.core.usage.CopySender;
import io.briarward.core.usage.StoreCommit;
import io.briarward.core.usage.UsageAmounts;
import io.briarward.core.usage.UsageKey;
import io.briarward.core.usage.UsageLedger;
import io.briarward.core.usage.UsageOwner;
import io.briarward.core.usage.UsageSettings;
import io.briarward.node.duty.PlatformCalls;
import io.briarward.node.live.UsageRecorder;
import io.briarward.node.peer.PeerNetwork;
import io.briarward.node.platform.TableService;
import io.briarward.node.timing.Timers;
import io.briarward.wire.proto.PeerMessage;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Counts this node's usage and determines when a record would survive the loss of the VM.
 *
 * <p>Each record is copied to two peers. If they don't both acknowledge it within the copy wait,
 * one copy suffices; without any copy, the record is written to the table service. If that doesn't
 * respond either, the caller's response is sent anyway and the record counts as unprotected.
 * Confined to the scheduler's thread.
 */
public final class UsageMeter implements UsageRecorder, AutoCloseable {
  private static final long STEP_PERIOD_MILLIS = 20;
  private static final long COPY_WAIT_MILLIS = 40;
  private static final long FLUSH_WAIT_MILLIS = 500;
  private static final int COPIES = 2;
  private static final int SILENT_AFTER_TIMEOUTS = 3;
  private static final double THOUSANDTHS_PER_UNIT = 1_000;

  private final Scheduler scheduler;
  private final LongSupplier wallClockMillis;
  private final TableService tables;
  private final PeerNetwork peers;
  private final CopyPlacement.Candidate self;
  private final Supplier<ImmutableList<CopyPlacement.Candidate>> peerCandidates;
  private final UsageSettings settings;
  private final CopySender sender;
  private final UsageOwner owner;
  private final CopyHolder holder;
  private final CopyFlusher flusher;
  private final NavigableMap<Long, CompletableSubject> pendingRecords = new TreeMap<>();
  private final CompletableSubject sealed = CompletableSubject.create();
  private Disposable stepTimer = Disposable.disposed();
  private long unprotectedRecords;
  private boolean sendScheduled;

  private UsageMeter(
      UsageSettings settings,
      String incarnation,
      CopyPlacement.Candidate self,
      Supplier<ImmutableList<CopyPlacement.Candidate>> peerCandidates,
      Scheduler scheduler,
      LongSupplier wallClockMillis,
      TableService tables,
      PeerNetwork peers) {
    this.settings = checkNotNull(settings, "settings");
    this.self = checkNotNull(self, "self");
    this.peerCandidates = checkNotNull(peerCandidates, "peerCandidates");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.wallClockMillis = checkNotNull(wallClockMillis, "wallClockMillis");
    this.tables = checkNotNull(tables, "tables");
    this.peers = checkNotNull(peers, "peers");
    UsageLedger ledger = UsageLedger.create(settings, wallClockMillis.getAsLong());
    this.sender = CopySender.create(settings, incarnation, ledger);
    this.owner = UsageOwner.create(settings, incarnation, ledger, sender);
    this.holder = CopyHolder.create(settings);
    this.flusher = CopyFlusher.create(settings, holder);
  }

  /**
   * Starts a meter and registers the incarnation.
   *
   * <p>Usage may be recorded only once {@link #ready} returns true.
   *
   * @param peerCandidates the live VMs of the region that may keep copies
   * @param wallClockMillis the wall clock, in milliseconds since the Unix epoch
   */
  public static UsageMeter start(
      UsageSettings settings,
      String incarnation,
      CopyPlacement.Candidate self,
      Supplier<ImmutableList<CopyPlacement.Candidate>> peerCandidates,
      Scheduler scheduler,
      LongSupplier wallClockMillis,
      TableService tables,
      PeerNetwork peers) {
    UsageMeter meter =
        new UsageMeter(
            settings, incarnation, self, peerCandidates, scheduler, wallClockMillis, tables, peers);
    peers.setHandler(PeerMessage.BodyCase.USAGE, meter::onMessage);
    meter.stepTimer = Timers.nowAndEvery(scheduler, STEP_PERIOD_MILLIS, meter::step);
    return meter;
  }

  /** Returns whether the incarnation is registered, so that the node may serve requests. */
  public boolean ready() {
    return owner.registered();
  }

  /** Returns how many records completed without a confirmed copy outside this VM. */
  public long unprotectedRecords() {
    return unprotectedRecords;
  }

  @Override
  public Completable record(Usage usage) {
    UsageKey key = new UsageKey(usage.organisation(), usage.service(), usage.kind());
    UsageAmounts amounts =
        new UsageAmounts(
            1,
            Math.round(usage.weight() * THOUSANDTHS_PER_UNIT),
            usage.promptTokens(),
            usage.completionTokens(),
            usage.upstreamMillis());
    long sequence = owner.record(wallClockMillis.getAsLong(), key, amounts);
    CompletableSubject durable = CompletableSubject.create();
    pendingRecords.put(sequence, durable);
    sendCopies();
    scheduleSend();
    Completable fallBack = flushUnlessCopied(sequence, durable);
    Completable wait =
        sender.hasPeers()
            ? durable.timeout(COPY_WAIT_MILLIS, TimeUnit.MILLISECONDS, scheduler, fallBack)
            : fallBack;
    return wait.doFinally(() -> pendingRecords.remove(sequence));
  }

  /**
   * Seals all windows; completes when the table service has stored them. To be called after the
   * last record.
   */
  public Completable seal() {
    return Completable.fromAction(owner::end).subscribeOn(scheduler).andThen(sealed);
  }

  @Override
  public void close() {
    stepTimer.dispose();
  }

  private Completable flushUnlessCopied(long sequence, CompletableSubject durable) {
    return Completable.defer(
        () -> {
          if (sender.durableSequence(1) >= sequence) {
            return Completable.complete();
          }
          owner.requestFlush();
          stepOwner();
          return durable.timeout(
              FLUSH_WAIT_MILLIS,
              TimeUnit.MILLISECONDS,
              scheduler,
              Completable.fromAction(() -> unprotectedRecords++));
        });
  }

  private void step() {
    ImmutableSet<String> silent = sender.silentPeers(SILENT_AFTER_TIMEOUTS);
    ImmutableList<CopyPlacement.Candidate> all = peerCandidates.get();
    ImmutableList<CopyPlacement.Candidate> answering =
        all.stream()
            .filter(each -> !silent.contains(each.id()))
            .collect(ImmutableList.toImmutableList());
    sender.setPeers(CopyPlacement.choose(self, answering.isEmpty() ? all : answering, COPIES));
    sendCopies();
    stepOwner();
    flusher.poll(nowMillis()).ifPresent(this::commitCopies);
  }

  private void sendCopies() {
    for (CopySender.Send send : sender.poll(nowMillis())) {
      PlatformCalls.subscribe(
          peers.request(send.peer(), UsageCodec.encode(send.batch()), settings.copyTimeoutMillis()),
          scheduler,
          answer -> onAck(send.peer(), answer),
          () -> {});
    }
  }

  /** Schedules the sending of records held back by the minimum interval between sends. */
  private void scheduleSend() {
    if (sendScheduled) {
      return;
    }
    sendScheduled = true;
    var unused =
        scheduler.scheduleDirect(
            () -> {
              sendScheduled = false;
              sendCopies();
            },
            settings.copyGapMillis(),
            TimeUnit.MILLISECONDS);
  }

  private void onAck(String peer, PeerMessage answer) {
    sender.onAck(peer, answer.getUsage().getAck().getSequence());
    completeDurable();
    sendCopies();
  }

  private Maybe<PeerMessage> onMessage(PeerMessage message) {
    if (!message.getUsage().hasCopy()) {
      return Maybe.empty();
    }
    return Maybe.fromCallable(
            () ->
                UsageCodec.encodeAck(
                    holder.accept(UsageCodec.decode(message.getUsage().getCopy()), nowMillis())))
        .subscribeOn(scheduler);
  }

  private void stepOwner() {
    owner.poll(nowMillis(), wallClockMillis.getAsLong()).ifPresent(this::commitOwn);
  }

  private void commitOwn(StoreCommit commit) {
    PlatformCalls.subscribe(
        tables.commit(commit.transaction()),
        scheduler,
        result -> {
          owner.onCommit(commit.operation(), result);
          completeDurable();
          if (owner.ended()) {
            sealed.onComplete();
          }
        },
        () -> owner.onFailure(commit.operation(), nowMillis(), 0));
  }

  private void commitCopies(StoreCommit commit) {
    PlatformCalls.subscribe(
        tables.commit(commit.transaction()),
        scheduler,
        result -> {
          flusher.onCommit(commit.operation(), result);
          Logger.debug("store responded to a write of usage copies of another incarnation");
        },
        () -> flusher.onFailure(commit.operation(), nowMillis(), 0));
  }

  private void completeDurable() {
    long durable = sender.durableSequence(COPIES);
    Map<Long, CompletableSubject> done = new TreeMap<>(pendingRecords.headMap(durable, true));
    done.values().forEach(CompletableSubject::onComplete);
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
