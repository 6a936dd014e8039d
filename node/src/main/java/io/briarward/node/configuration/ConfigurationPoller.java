package io.briarward.node.configuration;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Reads the configuration from the table service at a fixed interval. */
public final class ConfigurationPoller implements AutoCloseable {
  private static final long INTERVAL_MILLIS = 1_000;

  private final Disposable polling;

  private ConfigurationPoller(Disposable polling) {
    this.polling = polling;
  }

  /** Starts polling into the holder. */
  public static ConfigurationPoller start(
      ConfigurationStore store, ConfigurationHolder holder, Scheduler scheduler) {
    Disposable polling =
        Flowable.interval(0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS, scheduler)
            .onBackpressureDrop()
            .concatMapMaybe(
                unused ->
                    store
                        .read()
                        .toMaybe()
                        .doOnError(e -> Logger.warn("configuration not read: {}", e.getMessage()))
                        .onErrorComplete(),
                1)
            .subscribe(holder::update);
    return new ConfigurationPoller(polling);
  }

  @Override
  public void close() {
    polling.dispose();
  }
}
