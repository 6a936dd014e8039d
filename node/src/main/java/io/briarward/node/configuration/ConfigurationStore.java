package io.briarward.node.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.configuration.Configuration;
import io.briarward.core.distribution.ChangeResult;
import io.briarward.core.distribution.ChangeStep;
import io.briarward.core.distribution.ConfigurationChange;
import io.briarward.core.distribution.ConfigurationDelta;
import io.briarward.core.distribution.ConfigurationDocument;
import io.briarward.core.distribution.StoreLayout;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.FailureException;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/** Reads and replaces the configuration on behalf of operators. */
public final class ConfigurationStore {
  private static final long RETRY_DELAY_MILLIS = 200;
  private static final long REFUSED_RETRY_MILLIS = 1_000;
  private static final long POLL_MILLIS = 50;
  private static final long SAMPLE_INTERVAL_MILLIS = 500;
  private static final long CATCH_UP_TIMEOUT_MILLIS = 3_000;
  private static final long ACCEPT_TIMEOUT_MILLIS = 6_000;

  private final TableService tables;
  private final ControlService control;
  private final Scheduler scheduler;

  private ConfigurationStore(TableService tables, ControlService control, Scheduler scheduler) {
    this.tables = tables;
    this.control = control;
    this.scheduler = scheduler;
  }

  /**
   * Returns a store on the given table service.
   *
   * @param scheduler the scheduler of the control service
   */
  public static ConfigurationStore create(
      TableService tables, ControlService control, Scheduler scheduler) {
    checkNotNull(tables, "tables");
    checkNotNull(control, "control");
    checkNotNull(scheduler, "scheduler");
    return new ConfigurationStore(tables, control, scheduler);
  }

  /**
   * Returns the current configuration by a strong read of the store.
   *
   * <p>Fails with {@link ErrorKind#STORE_UNAVAILABLE} when the store does not answer.
   */
  public Single<VersionedConfiguration> read() {
    return current()
        .map(document -> new VersionedConfiguration(document.version(), document.configuration()));
  }

  /**
   * Replaces the configuration if {@code expectedVersion} is current.
   *
   * <p>Succeeds once the store and a majority of the VMs hold the new version. Fails with {@link
   * ErrorKind#VERSION_CONFLICT} when another version is current; with {@link ErrorKind#NOT_READY}
   * when this node is in contact with no majority; with {@link ErrorKind#DEADLINE_EXCEEDED} when
   * the version is stored and not yet held by a majority; and with {@link
   * ErrorKind#STORE_UNAVAILABLE} when the store does not answer, where the run state tells whether
   * the change may have been stored.
   */
  public Single<VersionedConfiguration> replace(Configuration configuration, long expectedVersion) {
    return awaitContact()
        .subscribeOn(scheduler)
        .flatMap(unused -> current())
        .flatMap(base -> change(base, configuration, expectedVersion))
        .flatMap(this::awaitMajority)
        .map(version -> new VersionedConfiguration(version, configuration));
  }

  private Single<Boolean> awaitContact() {
    return every(POLL_MILLIS)
        .map(unused -> control.mayAcceptChange())
        .filter(contact -> contact)
        .firstOrError()
        .timeout(
            CATCH_UP_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS,
            scheduler,
            Single.error(notReady("the node is not in contact with a majority of the VMs")));
  }

  private Single<ConfigurationDocument> current() {
    return tables
        .read(StoreLayout.HEAD)
        .map(
            row ->
                row.map(head -> StoreLayout.head(head).version())
                    .orElse(ConfigurationDocument.EMPTY_VERSION))
        .onErrorResumeNext(error -> Single.error(unavailable()))
        .observeOn(scheduler)
        .flatMap(this::awaitHeld);
  }

  private Single<ConfigurationDocument> awaitHeld(long version) {
    return every(POLL_MILLIS)
        .concatMapMaybe(unused -> Maybe.fromOptional(control.held()))
        .filter(document -> document.version() >= version)
        .firstOrError()
        .timeout(
            CATCH_UP_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS,
            scheduler,
            Single.error(notReady("the node does not hold version " + version + " yet")));
  }

  private Single<ConfigurationDelta> change(
      ConfigurationDocument base, Configuration configuration, long expectedVersion) {
    if (base.version() != expectedVersion) {
      return Single.error(conflict(base.version()));
    }
    ConfigurationChange change =
        ConfigurationChange.create(base, configuration, UUID.randomUUID().toString());
    return run(change, change.start(), nowMillis());
  }

  private Single<ConfigurationDelta> run(
      ConfigurationChange change, ChangeStep step, long lastSentAtMillis) {
    if (step instanceof ChangeStep.Finished finished) {
      return finish(finished.result(), lastSentAtMillis);
    }
    long sentAtMillis = nowMillis();
    return execute(change, step)
        .observeOn(scheduler)
        .onErrorResumeNext(error -> retryLater(change))
        .flatMap(next -> run(change, next, sentAtMillis));
  }

  private Single<ChangeStep> execute(ConfigurationChange change, ChangeStep step) {
    return step instanceof ChangeStep.Commit commit
        ? tables.commit(commit.transaction()).observeOn(scheduler).map(change::onCommit)
        : tables.read(((ChangeStep.Read) step).row()).observeOn(scheduler).map(change::onRow);
  }

  private Single<ChangeStep> retryLater(ConfigurationChange change) {
    return Single.timer(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS, scheduler)
        .map(unused -> change.onFailure());
  }

  private Single<ConfigurationDelta> finish(ChangeResult result, long sentAtMillis) {
    return switch (result.kind()) {
      case ACCEPTED -> {
        ConfigurationDelta delta = result.delta().orElseThrow();
        control.onStored(delta, sentAtMillis);
        yield Single.just(delta);
      }
      case CONFLICT -> Single.error(conflict(result.version()));
      case NOT_SENT -> Single.error(unavailable());
      case UNKNOWN ->
          Single.error(
              Failure.unknown(
                      ErrorKind.STORE_UNAVAILABLE,
                      "the store did not answer; read the version to see whether it changed")
                  .toException());
    };
  }

  private Single<Long> awaitMajority(ConfigurationDelta delta) {
    long version = delta.version();
    Flowable<Long> samples =
        every(SAMPLE_INTERVAL_MILLIS).doOnNext(unused -> control.probeSample());
    return every(POLL_MILLIS)
        .mergeWith(samples)
        .filter(unused -> control.isAccepted(version))
        .map(unused -> version)
        .firstOrError()
        .timeout(
            ACCEPT_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS,
            scheduler,
            Single.error(
                Failure.ran(
                        ErrorKind.DEADLINE_EXCEEDED,
                        "version " + version + " is stored and not yet held by most of the VMs")
                    .toException()));
  }

  private Flowable<Long> every(long millis) {
    return Flowable.interval(0, millis, TimeUnit.MILLISECONDS, scheduler).onBackpressureDrop();
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  private static FailureException notReady(String detail) {
    return Failure.notRun(ErrorKind.NOT_READY, detail, REFUSED_RETRY_MILLIS).toException();
  }

  private static FailureException unavailable() {
    return Failure.notRun(
            ErrorKind.STORE_UNAVAILABLE, "the store does not answer", REFUSED_RETRY_MILLIS)
        .toException();
  }

  private static FailureException conflict(long currentVersion) {
    return Failure.notRun(ErrorKind.VERSION_CONFLICT, "the current version is " + currentVersion)
        .toException();
  }
}
