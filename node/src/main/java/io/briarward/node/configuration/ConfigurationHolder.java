package io.briarward.node.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.keys.ServingPermission;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.util.function.Supplier;

/**
 * Holds the newest configuration this node knows.
 *
 * <p>Its version never decreases. Thread-safe.
 */
public final class ConfigurationHolder {
  private final BehaviorProcessor<VersionedConfiguration> changes =
      BehaviorProcessor.createDefault(VersionedConfiguration.initial());
  private volatile boolean known;
  private volatile Supplier<ServingPermission> permission = this::permissionIfKnown;

  private ConfigurationHolder() {}

  /** Returns a holder that knows no configuration. */
  public static ConfigurationHolder create() {
    return new ConfigurationHolder();
  }

  /** Returns the newest configuration. */
  public VersionedConfiguration current() {
    return changes.getValue();
  }

  /** Returns whether a current configuration was read since this node started. */
  public boolean known() {
    return known;
  }

  /** Takes a configuration in unless a newer one is held. */
  public synchronized void update(VersionedConfiguration candidate) {
    known = true;
    if (candidate.version() > current().version()) {
      changes.onNext(candidate);
    }
  }

  /**
   * Returns whether routes that need a key may be served now.
   *
   * <p>It is judged at the call, so that it is right also just after the process was paused.
   */
  public ServingPermission permission() {
    return permission.get();
  }

  /** Sets what judges the permission, in place of whether a configuration is known. */
  void setPermission(Supplier<ServingPermission> judge) {
    permission = checkNotNull(judge, "judge");
  }

  private ServingPermission permissionIfKnown() {
    return known
        ? ServingPermission.permitted(ServingPermission.Reason.FRESH)
        : ServingPermission.refused(ServingPermission.Reason.NOT_SETTLED);
  }

  /** Returns the configurations from the current one on, skipping to the newest under load. */
  public Flowable<VersionedConfiguration> changes() {
    return changes.onBackpressureLatest();
  }
}
