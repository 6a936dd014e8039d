package io.briarward.core.weights;

import java.util.Optional;
import java.util.OptionalLong;

/** The state of one sampler and of its weight swap. Not thread-safe. */
final class SamplerSwap {
  private static final long NONE = -1;

  private final String sampler;
  private Optional<SamplerReport> report = Optional.empty();
  private Optional<SwapOrder> order = Optional.empty();
  private long loadingSinceMillis;
  private long orderedAtMillis;
  private boolean loadedSinceOrder;
  private long retryAtMillis;
  private int failures;
  private int failedTransfers;

  SamplerSwap(String sampler) {
    this.sampler = sampler;
  }

  String sampler() {
    return sampler;
  }

  /** Applies a report unless a newer one is known. */
  void onReport(SamplerReport next) {
    boolean isNewer =
        report.isEmpty() || next.measuredAtMillis() >= report.get().measuredAtMillis();
    if (isNewer) {
      updateLoading(next);
      report = Optional.of(next);
    }
  }

  private void updateLoading(SamplerReport next) {
    boolean isLoadingOrder =
        order.isPresent() && next.loadingVersion().equals(OptionalLong.of(order.get().version()));
    loadedSinceOrder = loadedSinceOrder || isLoadingOrder;
    boolean isUnchanged =
        report.isPresent() && report.get().loadingVersion().equals(next.loadingVersion());
    if (!isUnchanged) {
      loadingSinceMillis = next.measuredAtMillis();
    }
  }

  boolean isLive(long nowMillis, SwapSettings settings) {
    return report.isPresent()
        && nowMillis - report.get().measuredAtMillis() <= settings.reportTimeoutMillis();
  }

  long version() {
    return report.map(SamplerReport::weightVersion).orElse(NONE);
  }

  int running() {
    return report.map(SamplerReport::running).orElse(0);
  }

  Optional<SwapOrder> order() {
    return order;
  }

  /** Returns whether the sampler is swapping, according to an open order or its last report. */
  boolean isSwapping() {
    return order.isPresent() || isLoading();
  }

  private boolean isLoading() {
    return report.filter(last -> last.loadingVersion().isPresent()).isPresent();
  }

  void onOrdered(SwapOrder next, long nowMillis) {
    order = Optional.of(next);
    orderedAtMillis = nowMillis;
    loadedSinceOrder = false;
  }

  /** Returns whether the sampler reports the ordered version or a newer one. */
  boolean isConfirmed() {
    return order.isPresent() && version() >= order.get().version();
  }

  /** Returns whether the order timed out or the sampler ended the load without the version. */
  boolean isFailed(long nowMillis, SwapSettings settings) {
    if (order.isEmpty() || isConfirmed()) {
      return false;
    }
    boolean isTimedOut = nowMillis - orderedAtMillis > settings.swapTimeoutMillis();
    return isTimedOut || hasStoppedLoading(settings);
  }

  private boolean hasStoppedLoading(SwapSettings settings) {
    long graceEndsAtMillis =
        loadedSinceOrder ? orderedAtMillis : orderedAtMillis + settings.confirmGraceMillis();
    return report
        .filter(last -> last.loadingVersion().isEmpty())
        .filter(last -> last.measuredAtMillis() > graceEndsAtMillis)
        .isPresent();
  }

  void onConfirmed() {
    order = Optional.empty();
    failures = 0;
    failedTransfers = 0;
  }

  void onFailed(long nowMillis, SwapSettings settings) {
    order = Optional.empty();
    failures++;
    retryAtMillis = nowMillis + failures * settings.retryDelayMillis();
  }

  /** Counts a failed transfer from this sampler. */
  void onTransferFailed() {
    failedTransfers++;
  }

  int failedTransfers() {
    return failedTransfers;
  }

  int failures() {
    return failures;
  }

  /**
   * Returns whether an order may be sent to the sampler; a load that has timed out is ordered
   * again.
   */
  boolean canStart(long nowMillis, SwapSettings settings) {
    boolean isStuck = nowMillis - loadingSinceMillis > settings.swapTimeoutMillis();
    return order.isEmpty() && nowMillis >= retryAtMillis && (isStuck || !isLoading());
  }
}
