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
 * <p>Any node answers any trainer; any node may run any shard. Confined to the event loop. Example:
 *
 * <pre>{@code
 * RolloutService rollouts =
 *     RolloutService.start(context, upstreams, samplers, usage, () -> vmCount);
 * TrainerApi api = rollouts.api(context);
 * }</pre>
 */
public final class RolloutService implements AutoCloseable {
  private static final int MAX_VIEWS = 64;

  private final RolloutContext context;
  private final ShardOwners owners;
  private final Submissions submissions;
  private final DeliveryUsage usage;
  private final Map<RolloutKey, RolloutView> views =
      new LinkedHashMap<>(MAX_VIEWS, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RolloutKey, RolloutView> eldest) {
          return size() > MAX_VIEWS;
        }
      };
  private long questions;
  private boolean stopping;

  private RolloutService(RolloutContext context, IntSupplier nodes) {
    this.context = context;
    this.owners = ShardOwners.start(context, nodes);
    this.submissions = new Submissions(context);
    this.usage = new DeliveryUsage(context);
  }

  /**
   * Starts the service.
   *
   * @param samplers chooses the sampler of each attempt
   * @param usage records what is billed, once per delivery
   * @param nodes the number of live nodes
   */
  public static RolloutService start(
      NodeContext node,
      UpstreamRequests upstreams,
      SamplerSelector samplers,
      UsageRecorder usage,
      IntSupplier nodes) {
    RolloutContext context =
        new RolloutContext(
            node.scheduler(),
            RolloutStore.create(node.tables(), node.objects()),
            HttpEngines.create(upstreams),
            samplers,
            usage,
            node.incarnation(),
            node::wallMillis,
            PublishProcessor.create());
    return new RolloutService(context, nodes);
  }

  static RolloutService start(RolloutContext context, IntSupplier nodes) {
    return new RolloutService(context, nodes);
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

  /** Takes no more work; completes when every running attempt has ended and is recorded. */
  public Completable drain() {
    stopping = true;
    return owners.drain();
  }

  /** Gives up the leases, so that other nodes take over at once. */
  @Override
  public void close() {
    stopping = true;
    owners.close();
    usage.close();
  }

  Single<Submissions.Accepted> submit(RolloutKey key, RolloutSpec spec, RolloutPolicy policy) {
    if (stopping) {
      return Single.error(
          Failure.notRun(ErrorKind.STOPPING, ErrorKind.STOPPING.title()).toException());
    }
    return submissions.submit(key, spec, policy).doOnSuccess(accepted -> owners.rolloutSubmitted());
  }

  Completable cancel(RolloutKey key) {
    return submissions.cancel(key);
  }

  /** Answers a question for groups, after up to {@code waitMillis} when there is nothing new. */
  Single<GroupsAnswer> groups(RolloutKey key, long cursor, long waitMillis) {
    long untilMillis = context.nowMillis() + (stopping ? 0 : waitMillis);
    questions++;
    String name = context.node() + "-" + questions;
    return view(key)
        .flatMap(
            view -> new GroupDelivery(context, usage, view, cursor, name, untilMillis).answer());
  }

  private Single<RolloutView> view(RolloutKey key) {
    RolloutView known = views.get(key);
    return known != null
        ? Single.just(known)
        : context.store().open(key).doOnSuccess(opened -> views.putIfAbsent(key, opened));
  }

  /** Announces a version; one that is announced already or older changes nothing. */
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
