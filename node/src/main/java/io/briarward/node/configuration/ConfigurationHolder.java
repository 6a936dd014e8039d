package io.briarward.node.configuration;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;

/**
 * Holds the newest configuration this node knows.
 *
 * <p>Its version never decreases. Thread-safe.
 */
public final class ConfigurationHolder {
  private final BehaviorProcessor<VersionedConfiguration> changes =
      BehaviorProcessor.createDefault(VersionedConfiguration.initial());
  private volatile boolean known;

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

  /** Returns the configurations from the current one on, skipping to the newest under load. */
  public Flowable<VersionedConfiguration> changes() {
    return changes.onBackpressureLatest();
  }
}
