package io.briarward.operator;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.configuration.Upstream;

/** A builder of upstreams. Not thread-safe. */
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

  /** Sets the data centre that the upstream runs in. */
  @CanIgnoreReturnValue
  public UpstreamBuilder dataCentre(String dataCentreId) {
    this.dataCentre = dataCentreId;
    return this;
  }

  /** Sets the IP address and the HTTP port. */
  @CanIgnoreReturnValue
  public UpstreamBuilder address(String ipAddress, int httpPort) {
    this.host = ipAddress;
    this.port = httpPort;
    return this;
  }

  /** Declares that the platform may reclaim the upstream at a few seconds' notice. */
  @CanIgnoreReturnValue
  public UpstreamBuilder reclaimable() {
    this.reclaimable = true;
    return this;
  }

  /** Declares that the upstream accepts orders with a stale fencing number. */
  @CanIgnoreReturnValue
  public UpstreamBuilder ignoresFencing() {
    this.checksFencing = false;
    return this;
  }

  /** Sets how many requests the upstream runs at once before it queues them; 16 by default. */
  @CanIgnoreReturnValue
  public UpstreamBuilder maxConcurrent(int limit) {
    this.maxConcurrent = limit;
    return this;
  }

  Upstream build() {
    return new Upstream(id, dataCentre, host, port, reclaimable, checksFencing, maxConcurrent);
  }
}
