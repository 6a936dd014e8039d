package io.briarward.operator;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.configuration.Upstream;

/** Collects the fields of an upstream. Not thread-safe. */
public final class UpstreamBuilder {
  private static final int DEFAULT_MAX_CONCURRENT = 16;

  private final String id;
  private String dataCentre = "";
  private String host = "";
  private int port;
  private boolean reclaimable;
  private boolean checksFencing = true;
  private int maxConcurrent = DEFAULT_MAX_CONCURRENT;

  UpstreamBuilder(String id) {
    this.id = id;
  }

  /** Sets the data centre it runs in. */
  @CanIgnoreReturnValue
  public UpstreamBuilder dataCentre(String dataCentreId) {
    this.dataCentre = dataCentreId;
    return this;
  }

  /** Sets its IP number and HTTP port. */
  @CanIgnoreReturnValue
  public UpstreamBuilder address(String ipNumber, int httpPort) {
    this.host = ipNumber;
    this.port = httpPort;
    return this;
  }

  /** Says that the platform may take it back at a few seconds' notice. */
  @CanIgnoreReturnValue
  public UpstreamBuilder reclaimable() {
    this.reclaimable = true;
    return this;
  }

  /** Says that it obeys orders which carry an old fencing number. */
  @CanIgnoreReturnValue
  public UpstreamBuilder ignoresFencing() {
    this.checksFencing = false;
    return this;
  }

  /** Sets how many requests it runs at once before it queues; 16 by default. */
  @CanIgnoreReturnValue
  public UpstreamBuilder maxConcurrent(int limit) {
    this.maxConcurrent = limit;
    return this;
  }

  Upstream build() {
    return new Upstream(id, dataCentre, host, port, reclaimable, checksFencing, maxConcurrent);
  }
}
