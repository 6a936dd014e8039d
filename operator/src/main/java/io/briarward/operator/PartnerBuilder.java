package io.briarward.operator;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.configuration.Partner;

/** A builder of partners. Not thread-safe. */
public final class PartnerBuilder {
  private final String id;
  private double reclaimableShare;

  PartnerBuilder(String id) {
    this.id = id;
  }

  /** Sets the maximum share of work that may run on reclaimable upstreams; 0 by default. */
  @CanIgnoreReturnValue
  public PartnerBuilder reclaimableShare(double share) {
    this.reclaimableShare = share;
    return this;
  }

  Partner build() {
    return new Partner(id, reclaimableShare);
  }
}
