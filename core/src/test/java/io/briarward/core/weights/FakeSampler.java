package io.briarward.core.weights;

import java.util.Optional;
import java.util.OptionalLong;

/** A simulated sampler whose loads take time and may fail. */
final class FakeSampler {
  private final String id;
  private long version;
  private Optional<SwapOrder> loading = Optional.empty();
  private long endsAtMillis;
  private boolean succeeds;
  private SamplerReport pendingReport;

  FakeSampler(String id, long version) {
    this.id = id;
    this.version = version;
    this.pendingReport = report(0);
  }

  void load(SwapOrder order, long endMillis, boolean willSucceed) {
    loading = Optional.of(order);
    endsAtMillis = endMillis;
    succeeds = willSucceed;
  }

  void advance(long nowMillis) {
    if (loading.isPresent() && nowMillis >= endsAtMillis) {
      version = succeeds ? loading.get().version() : version;
      loading = Optional.empty();
    }
  }

  boolean isServing() {
    return loading.isEmpty();
  }

  long version() {
    return version;
  }

  /** Returns the report measured by the previous call, and measures a new one. */
  SamplerReport nextReport(long nowMillis) {
    SamplerReport before = pendingReport;
    pendingReport = report(nowMillis);
    return before;
  }

  private SamplerReport report(long nowMillis) {
    OptionalLong loadingVersion =
        loading.isPresent() ? OptionalLong.of(loading.get().version()) : OptionalLong.empty();
    return new SamplerReport(id, version, loadingVersion, 0, nowMillis);
  }
}
