package io.briarward.node.rollout;

import io.briarward.core.rollout.Delivery;
import io.briarward.core.rollout.DeliveryStep;
import io.briarward.core.rollout.RolloutView;
import io.briarward.node.live.UsageRecorder;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Records the billed usage of each delivery once.
 *
 * <p>The node that committed a delivery records its usage. If the response to the commit was lost,
 * the node reads the stored delivery to determine whether it is the one that this node wrote.
 */
final class DeliveryUsage implements AutoCloseable {
  private static final String KIND = "rollout";
  private static final double WEIGHT_PER_GROUP = 1;
  private static final long RETRY_DELAY_MILLIS = 1_000;

  private final RolloutContext context;
  private final CompositeDisposable pendingReads = new CompositeDisposable();

  DeliveryUsage(RolloutContext context) {
    this.context = context;
  }

  /** Records the usage of a delivery that this node committed. */
  Completable record(RolloutView view, Delivery delivery) {
    UsageRecorder.Usage usage =
        new UsageRecorder.Usage(
            view.key().organisation(),
            view.header().service(),
            KIND,
            WEIGHT_PER_GROUP * delivery.groups().size(),
            0,
            delivery.tokens(),
            0);
    return context.usage().record(usage);
  }

  /** Records the usage in the background if the commit turns out to have taken effect. */
  void recordIfCommitted(RolloutView view, DeliveryStep.Commit commit) {
    Completable reading =
        Completable.defer(() -> context.store().refresh(view))
            .retryWhen(
                errors ->
                    errors.delay(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS, context.scheduler()))
            .andThen(Completable.defer(() -> recordIfOwn(view, commit)));
    pendingReads.add(reading.onErrorComplete().subscribe());
  }

  private Completable recordIfOwn(RolloutView view, DeliveryStep.Commit commit) {
    Optional<Delivery> stored = view.delivery(commit.serve().cursor());
    boolean own = stored.equals(Optional.of(commit.delivery()));
    return own ? record(view, commit.delivery()) : Completable.complete();
  }

  @Override
  public void close() {
    pendingReads.dispose();
  }
}
