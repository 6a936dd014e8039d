package io.briarward.node.rollout;

import io.briarward.core.configuration.RolloutPolicy;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.platform.Row;
import io.briarward.core.rollout.GroupsAnswer;
import io.briarward.core.rollout.RolloutKey;
import io.briarward.core.rollout.RolloutSpec;
import io.briarward.core.rollout.RolloutView;
import io.briarward.core.weights.AnnouncedVersion;
import io.briarward.core.weights.WeightAnnouncement;
import io.briarward.node.NodeContext;
import io.briarward.node.TrainerApi;
import io.briarward.node.live.UpstreamRequests;
import io.briarward.node.live.UsageRecorder;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.processors.PublishProcessor;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;

/**
 * Runs rollouts on a node.
 *
 * <p>Any node serves any trainer, and any node may run any shard. Confined to the event loop.
 * Example:
 *
 * <pre>{@code
 * RolloutService rollouts =
 *     RolloutService.start(context, upstreams, samplers, usage, () -> vmCount);
 * TrainerApi api = rollouts.api(context);
 * }</pre>
 */
public final class RolloutService implements AutoCloseable {
  private static final int MAX_CACHED_VIEWS = 64;

  private final RolloutContext context;
  private final ShardOwners owners;
  private final Submissions submissions;
  private final DeliveryUsage usage;
  private final Map<RolloutKey, RolloutView> views =
      new LinkedHashMap<>(MAX_CACHED_VIEWS, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RolloutKey, RolloutView> eldest) {
          return size() > MAX_CACHED_VIEWS;
        }
      };
  private long groupsRequestCount;
  private boolean stopping;

  private RolloutService(RolloutContext context, IntSupplier liveNodeCount) {
    this.context = context;
    this.owners = ShardOwners.start(context, liveNodeCount);
    this.submissions = new Submissions(context);
    this.usage = new DeliveryUsage(context);
  }

  /**
   * Starts the service.
   *
   * @param samplers selects the sampler of each attempt
   * @param usage records the billed usage, once per delivery
   * @param liveNodeCount returns the number of live nodes
   */
  public static RolloutService start(
      NodeContext node,
      UpstreamRequests upstreams,
      SamplerSelector samplers,
      UsageRecorder usage,
      IntSupplier liveNodeCount) {
    RolloutContext context =
        new RolloutContext(
            node.scheduler(),
            RolloutStore.create(node.tables(), node.objects()),
            HttpCompletionClient.create(upstreams),
            samplers,
            usage,
            node.incarnation(),
            node::wallMillis,
            PublishProcessor.create());
    return new RolloutService(context, liveNodeCount);
  }

  static RolloutService start(RolloutContext context, IntSupplier liveNodeCount) {
    return new RolloutService(context, liveNodeCount);
  }

  /** Returns the trainers' HTTP interface. */
  public TrainerApi api(NodeContext node) {
    return new RolloutApi(
        this,
        new TrainerAuthentication(
            node.configuration(), () -> node.control().permission().permitted()),
        node.bodies(),
        node.settings().maxBodyBytes());
  }

  /** Accepts no more work; completes when all attempts have ended and are recorded. */
  public Completable drain() {
    stopping = true;
    return owners.drain();
  }

  /** Releases the leases, so that other nodes take over without waiting for them to expire. */
  @Override
  public void close() {
    stopping = true;
    owners.close();
    usage.close();
  }

  Single<Submissions.SubmitResult> submit(RolloutKey key, RolloutSpec spec, RolloutPolicy policy) {
    if (stopping) {
      return Single.error(
          Failure.notRun(ErrorKind.STOPPING, ErrorKind.STOPPING.title()).toException());
    }
    return submissions
        .submit(key, spec, policy)
        .doOnSuccess(accepted -> owners.onRolloutSubmitted());
  }

  Completable cancel(RolloutKey key) {
    return submissions.cancel(key);
  }

  /**
   * Returns the groups that follow a trainer's cursor.
   *
   * <p>Waits up to {@code waitMillis} if there are none yet; a stopping service doesn't wait.
   */
  Single<GroupsAnswer> groups(RolloutKey key, long cursor, long waitMillis) {
    long deadlineMillis = context.nowMillis() + (stopping ? 0 : waitMillis);
    groupsRequestCount++;
    String requestId = context.node() + "-" + groupsRequestCount;
    return view(key)
        .flatMap(
            view ->
                new GroupDelivery(context, usage, view, cursor, requestId, deadlineMillis)
                    .answer());
  }

  private Single<RolloutView> view(RolloutKey key) {
    RolloutView cached = views.get(key);
    return cached != null
        ? Single.just(cached)
        : context.store().open(key).doOnSuccess(opened -> views.putIfAbsent(key, opened));
  }

  /** Announces a weight version; has no effect unless it is newer than the announced one. */
  Completable announce(WeightAnnouncement announcement) {
    return context
        .store()
        .read(AnnouncedVersion.key(announcement.service()))
        .flatMapCompletable(row -> announce(announcement, row));
  }

  private Completable announce(WeightAnnouncement announcement, Optional<Row> row) {
    return AnnouncedVersion.fromRow(row)
        .announce(announcement, context.wallMillis().getAsLong())
        .map(
            transaction ->
                context
                    .store()
                    .commit(transaction)
                    .flatMapCompletable(
                        result ->
                            result.committed() ? Completable.complete() : announce(announcement)))
        .orElseGet(Completable::complete);
  }
}
