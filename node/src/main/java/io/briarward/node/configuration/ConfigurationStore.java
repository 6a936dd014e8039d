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

/** Reads and replaces the configuration in the table service on behalf of operators. */
public final class ConfigurationStore {
  private static final long STORE_RETRY_DELAY_MILLIS = 200;
  private static final long REJECTED_RETRY_AFTER_MILLIS = 1_000;
  private static final long POLL_INTERVAL_MILLIS = 50;
  private static final long PROBE_SAMPLE_INTERVAL_MILLIS = 500;
  private static final long CATCH_UP_TIMEOUT_MILLIS = 3_000;
  private static final long MAJORITY_TIMEOUT_MILLIS = 6_000;

  private final TableService tables;
  private final ControlService control;
  private final Scheduler scheduler;

  private ConfigurationStore(TableService tables, ControlService control, Scheduler scheduler) {
    this.tables = tables;
    this.control = control;
    this.scheduler = scheduler;
  }

  /**
   * Creates a store on the given table service.
   *
   * @param scheduler the scheduler that {@code control} is confined to
   */
  public static ConfigurationStore create(
      TableService tables, ControlService control, Scheduler scheduler) {
    checkNotNull(tables, "tables");
    checkNotNull(control, "control");
    checkNotNull(scheduler, "scheduler");
    return new ConfigurationStore(tables, control, scheduler);
  }

  /**
   * Returns the current configuration, whose version is determined by a strongly consistent read.
   *
   * <p>Fails with {@link ErrorKind#STORE_UNAVAILABLE} if the store does not respond, and with
   * {@link ErrorKind#NOT_READY} if this node does not receive the current version in time.
   */
  public Single<VersionedConfiguration> read() {
    return current()
        .map(document -> new VersionedConfiguration(document.version(), document.configuration()));
  }

  /**
   * Replaces the configuration if {@code expectedVersion} is current.
   *
   * <p>Succeeds once the store and a majority of the VMs hold the new version. Fails with:
   *
   * <ul>
   *   <li>{@link ErrorKind#VERSION_CONFLICT} if another version is current;
   *   <li>{@link ErrorKind#NOT_READY} if this node is not in contact with a majority of the VMs or
   *       does not receive the current version in time;
   *   <li>{@link ErrorKind#DEADLINE_EXCEEDED} if the new version is stored but not yet held by a
   *       majority of the VMs;
   *   <li>{@link ErrorKind#STORE_UNAVAILABLE} if the store does not respond; the failure's run
   *       state tells whether the change may have been stored.
   * </ul>
   */
  public Single<VersionedConfiguration> replace(Configuration configuration, long expectedVersion) {
    return awaitMajorityContact()
        .subscribeOn(scheduler)
        .flatMap(unused -> current())
        .flatMap(base -> change(base, configuration, expectedVersion))
        .flatMap(this::awaitMajority)
        .map(version -> new VersionedConfiguration(version, configuration));
  }

  private Single<Boolean> awaitMajorityContact() {
    return ticks(POLL_INTERVAL_MILLIS)
        .map(unused -> control.mayAcceptChange())
        .filter(inContact -> inContact)
        .firstOrError()
        .timeout(
            CATCH_UP_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS,
            scheduler,
            Single.error(notReadyFailure("the node is not in contact with a majority of the VMs")));
  }

  private Single<ConfigurationDocument> current() {
    return tables
        .read(StoreLayout.HEAD)
        .map(
            row ->
                row.map(head -> StoreLayout.head(head).version())
                    .orElse(ConfigurationDocument.EMPTY_VERSION))
        .onErrorResumeNext(error -> Single.error(storeUnavailableFailure()))
        .observeOn(scheduler)
        .flatMap(this::awaitVersionHeld);
  }

  private Single<ConfigurationDocument> awaitVersionHeld(long version) {
    return ticks(POLL_INTERVAL_MILLIS)
        .concatMapMaybe(unused -> Maybe.fromOptional(control.held()))
        .filter(document -> document.version() >= version)
        .firstOrError()
        .timeout(
            CATCH_UP_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS,
            scheduler,
            Single.error(notReadyFailure("the node does not hold version " + version + " yet")));
  }

  private Single<ConfigurationDelta> change(
      ConfigurationDocument base, Configuration configuration, long expectedVersion) {
    if (base.version() != expectedVersion) {
      return Single.error(versionConflictFailure(base.version()));
    }
    ConfigurationChange change =
        ConfigurationChange.create(base, configuration, UUID.randomUUID().toString());
    return runSteps(change, change.start(), nowMillis());
  }

  private Single<ConfigurationDelta> runSteps(
      ConfigurationChange change, ChangeStep step, long lastSentAtMillis) {
    if (step instanceof ChangeStep.Finished finished) {
      return finish(finished.result(), lastSentAtMillis);
    }
    long sentAtMillis = nowMillis();
    return execute(change, step)
        .observeOn(scheduler)
        .onErrorResumeNext(error -> retryAfterDelay(change))
        .flatMap(next -> runSteps(change, next, sentAtMillis));
  }

  private Single<ChangeStep> execute(ConfigurationChange change, ChangeStep step) {
    return step instanceof ChangeStep.Commit commit
        ? tables.commit(commit.transaction()).observeOn(scheduler).map(change::onCommit)
        : tables.read(((ChangeStep.Read) step).row()).observeOn(scheduler).map(change::onRow);
  }

  private Single<ChangeStep> retryAfterDelay(ConfigurationChange change) {
    return Single.timer(STORE_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS, scheduler)
        .map(unused -> change.onFailure());
  }

  private Single<ConfigurationDelta> finish(ChangeResult result, long sentAtMillis) {
    return switch (result.kind()) {
      case ACCEPTED -> {
        ConfigurationDelta delta = result.delta().orElseThrow();
        control.onStored(delta, sentAtMillis);
        yield Single.just(delta);
      }
      case CONFLICT -> Single.error(versionConflictFailure(result.version()));
      case NOT_SENT -> Single.error(storeUnavailableFailure());
      case UNKNOWN ->
          Single.error(
              Failure.unknown(
                      ErrorKind.STORE_UNAVAILABLE,
                      "the store did not answer; read the version to check whether it changed")
                  .toException());
    };
  }

  private Single<Long> awaitMajority(ConfigurationDelta delta) {
    long version = delta.version();
    Flowable<Long> probes =
        ticks(PROBE_SAMPLE_INTERVAL_MILLIS).doOnNext(unused -> control.probeSample());
    return ticks(POLL_INTERVAL_MILLIS)
        .mergeWith(probes)
        .filter(unused -> control.isAccepted(version))
        .map(unused -> version)
        .firstOrError()
        .timeout(
            MAJORITY_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS,
            scheduler,
            Single.error(
                Failure.ran(
                        ErrorKind.DEADLINE_EXCEEDED,
                        "version "
                            + version
                            + " is stored but not yet held by a majority of the VMs")
                    .toException()));
  }

  private Flowable<Long> ticks(long periodMillis) {
    return Flowable.interval(0, periodMillis, TimeUnit.MILLISECONDS, scheduler)
        .onBackpressureDrop();
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  private static FailureException notReadyFailure(String detail) {
    return Failure.notRun(ErrorKind.NOT_READY, detail, REJECTED_RETRY_AFTER_MILLIS).toException();
  }

  private static FailureException storeUnavailableFailure() {
    return Failure.notRun(
            ErrorKind.STORE_UNAVAILABLE, "the store does not answer", REJECTED_RETRY_AFTER_MILLIS)
        .toException();
  }

  private static FailureException versionConflictFailure(long currentVersion) {
    return Failure.notRun(ErrorKind.VERSION_CONFLICT, "the current version is " + currentVersion)
        .toException();
  }
}
