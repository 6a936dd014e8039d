package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.BatchRun;
import io.briarward.core.batch.BatchTerms;
import io.briarward.core.batch.RewardCall;
import io.briarward.core.batch.RewardPacing;
import io.briarward.core.fleet.FleetRoute;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.node.batch.RewardClient.Reply;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Scores the complete texts of one batch while this process owns the batch.
 *
 * <p>A call starts only after the last event of its text was received, and the text does not change
 * afterwards. Confined to the event loop.
 */
final class RewardRunner implements AutoCloseable {
  /** The minimum time that a service has to score a text, in milliseconds. */
  private static final long MIN_TIMEOUT_MILLIS = 1_000;

  /** The time-out of a call, as a multiple of its route's goal. */
  private static final int TIMEOUT_GOALS = 3;

  /** How long this node sends nothing to an upstream that rejected a call, in milliseconds. */
  private static final long REJECTION_PAUSE_MILLIS = 50;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final BatchContext context;
  private final String batchId;
  private final BatchTerms terms;
  private final BatchRun run;
  private final CompositeDisposable calls = new CompositeDisposable();
  private final Set<String> calledServices = new HashSet<>();
  private boolean routeMissing;

  RewardRunner(BatchContext context, String batchId, BatchTerms terms, BatchRun run) {
    this.context = checkNotNull(context, "context");
    this.batchId = checkNotNull(batchId, "batchId");
    this.terms = checkNotNull(terms, "terms");
    this.run = checkNotNull(run, "run");
  }

  private record Call(BatchItem item, FleetRoute route, UpstreamEntry upstream, long sentAtMillis) {
    RewardCall reward() {
      return item.rewardCall().orElseThrow();
    }
  }

  /** Starts as many calls as their services have room for. */
  void step() {
    long nowMillis = context.nowMillis();
    // The routes without room; the empty route stands for calls that no route matches.
    Set<Optional<FleetRoute>> full = new HashSet<>();
    Optional<RewardCall> unrouted = Optional.empty();
    while (true) {
      Optional<BatchItem> next =
          run.nextReward(nowMillis, item -> full.isEmpty() || !full.contains(route(item)));
      if (next.isEmpty()) {
        break;
      }
      Optional<FleetRoute> route = route(next.get());
      if (route.isEmpty()) {
        unrouted = next.get().rewardCall();
      }
      Optional<Call> call = route.flatMap(found -> place(next.get(), found, nowMillis));
      call.ifPresentOrElse(this::start, () -> full.add(route));
    }
    logRoutes(unrouted);
  }

  /** Returns the services that were called for texts of the batch and may be called again. */
  ImmutableSet<String> services() {
    return run.unscored() == 0 ? ImmutableSet.of() : ImmutableSet.copyOf(calledServices);
  }

  private Optional<FleetRoute> route(BatchItem item) {
    RewardCall reward = item.rewardCall().orElseThrow();
    return context
        .configuration()
        .flatMap(configuration -> configuration.route(reward.host(), reward.path()));
  }

  /** Cancels all calls. */
  @Override
  public void close() {
    calls.dispose();
  }

  private Optional<Call> place(BatchItem item, FleetRoute route, long nowMillis) {
    String service = route.service(ThreadLocalRandom.current().nextDouble());
    return context
        .balancer()
        .choose(service, ImmutableSet.of(), this::hasRoom, nowMillis)
        .map(upstream -> new Call(item, route, upstream, nowMillis));
  }

  private boolean hasRoom(UpstreamEntry upstream) {
    return RewardPacing.hasRoom(context.balancer().inFlight(upstream.id()), upstream.slots());
  }

  private void logRoutes(Optional<RewardCall> unrouted) {
    if (unrouted.isPresent() != routeMissing) {
      routeMissing = unrouted.isPresent();
      context
          .log()
          .info(
              routeMissing ? "reward-route-missing" : "reward-route-found",
              "batch",
              batchId,
              "call",
              unrouted.map(RewardCall::id).orElse("none"),
              "path",
              unrouted.map(RewardCall::path).orElse("none"));
    }
  }

  private void start(Call call) {
    calledServices.add(call.upstream().service());
    context.balancer().onArrival(call.upstream().service(), call.sentAtMillis());
    run.onRewardStarted(call.item().id());
    context.balancer().onSent(call.upstream().id());
    long timeoutMillis = Math.max(MIN_TIMEOUT_MILLIS, TIMEOUT_GOALS * call.route().goalMillis());
    Reply timedOut =
        Reply.withoutResponse(
            RewardClient.Outcome.UNREACHABLE, "no response in " + timeoutMillis + " ms");
    var unused =
        context
            .rewards()
            .score(call.reward(), call.upstream(), timeoutMillis)
            .timeout(
                timeoutMillis, TimeUnit.MILLISECONDS, context.scheduler(), Single.just(timedOut))
            .doOnDispose(() -> context.balancer().onReleased(call.upstream().id()))
            .subscribe(
                reply -> onReply(call, reply),
                error ->
                    onReply(
                        call,
                        Reply.withoutResponse(
                            RewardClient.Outcome.BROKEN, "client failed: " + error)),
                calls);
  }

  private void onReply(Call call, Reply reply) {
    long nowMillis = context.nowMillis();
    String upstreamId = call.upstream().id();
    String itemId = call.item().id();
    reply
        .notice()
        .ifPresent(
            notice -> {
              context.balancer().onContact(call.upstream().service(), nowMillis);
              context.onNotice(call.upstream(), notice, call.reward().id());
            });
    switch (reply.outcome()) {
      case SCORED -> {
        context.balancer().onAnswered(upstreamId, nowMillis - call.sentAtMillis());
        run.onScored(itemId, reply.score().orElseThrow());
      }
      case FAILED -> {
        context.balancer().onReleased(upstreamId);
        run.onRewardFailed(
            itemId, Math.max(call.route().maxAttempts(), terms.maxAttempts()), nowMillis);
      }
      case NOT_RUN -> {
        context.balancer().onRejected(upstreamId, nowMillis, REJECTION_PAUSE_MILLIS);
        run.onRewardInterrupted(itemId, nowMillis);
      }
      case UNREACHABLE -> {
        context.balancer().onUnreachable(upstreamId);
        context.balancer().onFailed(upstreamId, nowMillis);
        run.onRewardInterrupted(itemId, nowMillis);
      }
      case BROKEN -> {
        context.balancer().onFailed(upstreamId, nowMillis);
        run.onRewardInterrupted(itemId, nowMillis);
      }
      default -> throw new AssertionError(reply.outcome());
    }
    long tookMillis = nowMillis - call.sentAtMillis();
    context
        .metrics()
        .rewardCallFinished(
            call.upstream().service(),
            Ascii.toLowerCase(reply.outcome().name()).replace('_', '-'),
            tookMillis / MILLIS_PER_SECOND);
    context
        .log()
        .info(
            "reward-call",
            "call",
            call.reward().id(),
            "item",
            itemId,
            "batch",
            batchId,
            "upstream",
            upstreamId,
            "outcome",
            reply.outcome(),
            "cause",
            reply.cause(),
            "tookMillis",
            tookMillis,
            "unscored",
            run.unscored());
    context.requestStep();
  }
}
