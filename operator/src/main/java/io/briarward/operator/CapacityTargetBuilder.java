package io.briarward.operator;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.configuration.CapacityTarget;

/** A builder of capacity targets. Not thread-safe. */
public final class CapacityTargetBuilder {
  private static final int DEFAULT_MAX_CONCURRENT = 16;

  private final String service;
  private final String dataCentre;
  private int min;
  private int max;
  private int maxConcurrent = DEFAULT_MAX_CONCURRENT;

  CapacityTargetBuilder(String service, String dataCentre) {
    this.service = service;
    this.dataCentre = dataCentre;
  }

  /** Sets the minimum number of ordered upstreams to keep running; 0 by default. */
  @CanIgnoreReturnValue
  public CapacityTargetBuilder min(int upstreams) {
    this.min = upstreams;
    return this;
  }

  /** Sets the maximum number of ordered upstreams; 0 by default. */
  @CanIgnoreReturnValue
  public CapacityTargetBuilder max(int upstreams) {
    this.max = upstreams;
    return this;
  }

  /** Sets how many requests one ordered upstream runs at once; 16 by default. */
  @CanIgnoreReturnValue
  public CapacityTargetBuilder maxConcurrent(int limit) {
    this.maxConcurrent = limit;
    return this;
  }

  CapacityTarget build() {
    return new CapacityTarget(service, dataCentre, min, max, maxConcurrent);
  }
}
