package io.briarward.node.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.keys.ServingPermission;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.util.function.Supplier;

/**
 * Holds the latest configuration that this node has received.
 *
 * <p>The version of the configuration never decreases. Thread-safe.
 */
public final class ConfigurationHolder {
  private final BehaviorProcessor<VersionedConfiguration> changes =
      BehaviorProcessor.createDefault(VersionedConfiguration.initial());
  private volatile boolean known;
  private volatile Supplier<ServingPermission> permission = this::defaultPermission;

  private ConfigurationHolder() {}

  /** Creates a holder of the empty initial configuration. */
  public static ConfigurationHolder create() {
    return new ConfigurationHolder();
  }

  /** Returns the latest configuration, which is empty until one is received. */
  public VersionedConfiguration current() {
    return changes.getValue();
  }

  /** Returns whether a current configuration has been received since this node started. */
  public boolean known() {
    return known;
  }

  /**
   * Replaces the configuration if the candidate's version is later.
   *
   * <p>The configuration counts as known from then on, whether or not it was replaced.
   */
  public synchronized void update(VersionedConfiguration candidate) {
    known = true;
    if (candidate.version() > current().version()) {
      changes.onNext(candidate);
    }
  }

  /**
   * Returns whether routes that require a key may be served now.
   *
   * <p>The permission is evaluated on each call, so that it is correct even immediately after a
   * pause of the process.
   */
  public ServingPermission permission() {
    return permission.get();
  }

  /**
   * Sets the supplier that evaluates the permission.
   *
   * <p>By default, serving is permitted once a configuration is known.
   */
  void setPermission(Supplier<ServingPermission> supplier) {
    permission = checkNotNull(supplier, "supplier");
  }

  private ServingPermission defaultPermission() {
    return known
        ? ServingPermission.permitted(ServingPermission.Reason.FRESH)
        : ServingPermission.refused(ServingPermission.Reason.NOT_SETTLED);
  }

  /** Emits the current configuration and all later ones; a slow subscriber gets only the latest. */
  public Flowable<VersionedConfiguration> changes() {
    return changes.onBackpressureLatest();
  }
}
