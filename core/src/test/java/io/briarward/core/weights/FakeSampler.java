package io.briarward.core.weights;

import java.util.Optional;
import java.util.OptionalLong;

/** A sampler whose swaps take time, fail or leave it as it was. */
final class FakeSampler {
  private final String id;
  private long version;
  private Optional<SwapOrder> loading = Optional.empty();
  private long endsAtMillis;
  private boolean succeeds;
  private SamplerReport lagging;

  FakeSampler(String id, long version) {
    this.id = id;
    this.version = version;
    this.lagging = report(0);
  }

  void load(SwapOrder order, long endMillis, boolean success) {
    loading = Optional.of(order);
    endsAtMillis = endMillis;
    succeeds = success;
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

  /** Returns the report of the time before, and measures a new one. */
  SamplerReport nextReport(long nowMillis) {
    SamplerReport before = lagging;
    lagging = report(nowMillis);
    return before;
  }

  private SamplerReport report(long nowMillis) {
    OptionalLong loadingVersion =
        loading.isPresent() ? OptionalLong.of(loading.get().version()) : OptionalLong.empty();
    return new SamplerReport(id, version, loadingVersion, 0, nowMillis);
  }
}
