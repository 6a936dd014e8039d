package io.briarward.core.weights;

import java.util.Optional;
import java.util.OptionalLong;

/** What is known of one sampler's swap. Not thread-safe. */
final class SamplerSwap {
  private static final long NONE = -1;

  private final String sampler;
  private Optional<SamplerReport> report = Optional.empty();
  private Optional<SwapOrder> order = Optional.empty();
  private long loadingSinceMillis;
  private long orderedAtMillis;
  private boolean loadedSinceOrder;
  private long notBeforeMillis;
  private int failures;
  private int failedTransfers;

  SamplerSwap(String sampler) {
    this.sampler = sampler;
  }

  String sampler() {
    return sampler;
  }

  /** Takes a report unless a newer one is known. */
  void learn(SamplerReport next) {
    boolean newer = report.isEmpty() || next.measuredAtMillis() >= report.get().measuredAtMillis();
    if (newer) {
      noteLoading(next);
      report = Optional.of(next);
    }
  }

  private void noteLoading(SamplerReport next) {
    boolean loadsOrder =
        order.isPresent() && next.loadingVersion().equals(OptionalLong.of(order.get().version()));
    loadedSinceOrder = loadedSinceOrder || loadsOrder;
    boolean same =
        report.isPresent() && report.get().loadingVersion().equals(next.loadingVersion());
    if (!same) {
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

  /** Returns whether it is swapping, by an order or by its own report. */
  boolean isSwapping() {
    return order.isPresent() || isLoading();
  }

  private boolean isLoading() {
    return report.filter(each -> each.loadingVersion().isPresent()).isPresent();
  }

  void ordered(SwapOrder next, long nowMillis) {
    order = Optional.of(next);
    orderedAtMillis = nowMillis;
    loadedSinceOrder = false;
  }

  /** Returns whether the sampler reports the ordered version. */
  boolean isConfirmed() {
    return order.isPresent() && version() >= order.get().version();
  }

  /** Returns whether the order came to nothing. */
  boolean isFailed(long nowMillis, SwapSettings settings) {
    if (order.isEmpty() || isConfirmed()) {
      return false;
    }
    boolean timedOut = nowMillis - orderedAtMillis > settings.swapTimeoutMillis();
    return timedOut || gaveUp(settings);
  }

  private boolean gaveUp(SwapSettings settings) {
    long settledAtMillis =
        loadedSinceOrder ? orderedAtMillis : orderedAtMillis + settings.confirmGraceMillis();
    return report
        .filter(each -> each.loadingVersion().isEmpty())
        .filter(each -> each.measuredAtMillis() > settledAtMillis)
        .isPresent();
  }

  void confirm() {
    order = Optional.empty();
    failures = 0;
    failedTransfers = 0;
  }

  void fail(long nowMillis, SwapSettings settings) {
    order = Optional.empty();
    failures++;
    notBeforeMillis = nowMillis + failures * settings.retryDelayMillis();
  }

  /** Counts a transfer from this sampler that came to nothing. */
  void transferFailed() {
    failedTransfers++;
  }

  int failedTransfers() {
    return failedTransfers;
  }

  int failures() {
    return failures;
  }

  /** Returns whether an order may go to it; a load that never ends is ordered again. */
  boolean mayStart(long nowMillis, SwapSettings settings) {
    boolean stuck = nowMillis - loadingSinceMillis > settings.swapTimeoutMillis();
    return order.isEmpty() && nowMillis >= notBeforeMillis && (stuck || !isLoading());
  }
}
