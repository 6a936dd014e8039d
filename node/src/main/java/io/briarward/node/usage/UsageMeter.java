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
 * Counts the usage of this node and tells when it outlives the VM.
 *
 * <p>A record goes to two peers at once. If they do not both answer within the copy wait, one copy
 * is enough; without any, the record is written to the table service; and if that does not answer
 * either, the answer goes out all the same and the record is counted as unprotected. To be used on
 * the scheduler's thread only.
 */
public final class UsageMeter implements UsageRecorder, AutoCloseable {
  private static final long STEP_MILLIS = 20;
  private static final long COPY_WAIT_MILLIS = 40;
  private static final long FLUSH_WAIT_MILLIS = 500;
  private static final int COPIES = 2;
  private static final int SILENT_AFTER_TIMEOUTS = 3;
  private static final double THOUSANDTHS = 1_000;

  private final Scheduler scheduler;
  private final LongSupplier wallMillis;
  private final TableService tables;
  private final PeerNetwork peers;
  private final CopyPlacement.Candidate self;
  private final Supplier<ImmutableList<CopyPlacement.Candidate>> others;
  private final UsageSettings settings;
  private final CopySender sender;
  private final UsageOwner owner;
  private final CopyHolder holder;
  private final CopyFlusher flusher;
  private final NavigableMap<Long, CompletableSubject> waiting = new TreeMap<>();
  private final CompletableSubject sealed = CompletableSubject.create();
  private Disposable stepping = Disposable.disposed();
  private long unprotected;
  private boolean sendScheduled;

  private UsageMeter(
      UsageSettings settings,
      String incarnation,
      CopyPlacement.Candidate self,
      Supplier<ImmutableList<CopyPlacement.Candidate>> others,
      Scheduler scheduler,
      LongSupplier wallMillis,
      TableService tables,
      PeerNetwork peers) {
    this.settings = checkNotNull(settings, "settings");
    this.self = checkNotNull(self, "self");
    this.others = checkNotNull(others, "others");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.wallMillis = checkNotNull(wallMillis, "wallMillis");
    this.tables = checkNotNull(tables, "tables");
    this.peers = checkNotNull(peers, "peers");
    UsageLedger ledger = UsageLedger.create(settings, wallMillis.getAsLong());
    this.sender = CopySender.create(settings, incarnation, ledger);
    this.owner = UsageOwner.create(settings, incarnation, ledger, sender);
    this.holder = CopyHolder.create(settings);
    this.flusher = CopyFlusher.create(settings, holder);
  }

  /**
   * Starts a meter, which registers the incarnation; nothing may be recorded before {@link #ready}.
   *
   * @param others the live VMs of the region that may keep copies
   * @param wallMillis the wall clock, in milliseconds since the Unix epoch
   */
  public static UsageMeter start(
      UsageSettings settings,
      String incarnation,
      CopyPlacement.Candidate self,
      Supplier<ImmutableList<CopyPlacement.Candidate>> others,
      Scheduler scheduler,
      LongSupplier wallMillis,
      TableService tables,
      PeerNetwork peers) {
    UsageMeter meter =
        new UsageMeter(settings, incarnation, self, others, scheduler, wallMillis, tables, peers);
    peers.handle(PeerMessage.BodyCase.USAGE, meter::onMessage);
    meter.stepping = Timers.nowAndEvery(scheduler, STEP_MILLIS, meter::step);
    return meter;
  }

  /** Returns whether the incarnation is registered, so that the node may serve. */
  public boolean ready() {
    return owner.registered();
  }

  /** Returns how many records were answered without a copy anywhere else. */
  public long unprotected() {
    return unprotected;
  }

  @Override
  public Completable record(Usage usage) {
    UsageKey key = new UsageKey(usage.organisation(), usage.service(), usage.kind());
    UsageAmounts amounts =
        new UsageAmounts(
            1,
            Math.round(usage.weight() * THOUSANDTHS),
            usage.promptTokens(),
            usage.completionTokens(),
            usage.upstreamMillis());
    long sequence = owner.record(wallMillis.getAsLong(), key, amounts);
    CompletableSubject durable = CompletableSubject.create();
    waiting.put(sequence, durable);
    sendCopies();
    sendAfterGap();
    Completable fallBack = fallBack(sequence, durable);
    Completable wait =
        sender.hasPeers()
            ? durable.timeout(COPY_WAIT_MILLIS, TimeUnit.MILLISECONDS, scheduler, fallBack)
            : fallBack;
    return wait.doFinally(() -> waiting.remove(sequence));
  }

  /** Seals every window, after the last record; completes when the table service has them. */
  public Completable seal() {
    return Completable.fromAction(owner::end).subscribeOn(scheduler).andThen(sealed);
  }

  @Override
  public void close() {
    stepping.dispose();
  }

  private Completable fallBack(long sequence, CompletableSubject durable) {
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
              Completable.fromAction(() -> unprotected++));
        });
  }

  private void step() {
    ImmutableSet<String> silent = sender.silentPeers(SILENT_AFTER_TIMEOUTS);
    ImmutableList<CopyPlacement.Candidate> all = others.get();
    ImmutableList<CopyPlacement.Candidate> answering =
        all.stream()
            .filter(each -> !silent.contains(each.id()))
            .collect(ImmutableList.toImmutableList());
    sender.setPeers(CopyPlacement.choose(self, answering.isEmpty() ? all : answering, COPIES));
    sendCopies();
    stepOwner();
    flusher.poll(nowMillis()).ifPresent(this::commitForOthers);
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

  /** Sends what could not go out at once because a batch went out just before. */
  private void sendAfterGap() {
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
                UsageCodec.ack(
                    holder.accept(UsageCodec.decode(message.getUsage().getCopy()), nowMillis())))
        .subscribeOn(scheduler);
  }

  private void stepOwner() {
    owner.poll(nowMillis(), wallMillis.getAsLong()).ifPresent(this::commitOwn);
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

  private void commitForOthers(StoreCommit commit) {
    PlatformCalls.subscribe(
        tables.commit(commit.transaction()),
        scheduler,
        result -> {
          flusher.onCommit(commit.operation(), result);
          Logger.debug("wrote copies of another incarnation's usage");
        },
        () -> flusher.onFailure(commit.operation(), nowMillis(), 0));
  }

  private void completeDurable() {
    long durable = sender.durableSequence(COPIES);
    Map<Long, CompletableSubject> done = new TreeMap<>(waiting.headMap(durable, true));
    done.values().forEach(CompletableSubject::onComplete);
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
