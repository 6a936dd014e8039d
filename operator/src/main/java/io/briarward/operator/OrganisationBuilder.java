package io.briarward.operator;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.configuration.Organisation;

/** A builder of organisations. Not thread-safe. */
public final class OrganisationBuilder {
  private static final double DEFAULT_REQUESTS_PER_SECOND = 100;
  private static final int DEFAULT_MAX_CONCURRENT = 32;

  private final String id;
  private String partner = "";
  private double weight = 1;
  private double requestsPerSecond = DEFAULT_REQUESTS_PER_SECOND;
  private int maxConcurrent = DEFAULT_MAX_CONCURRENT;

  OrganisationBuilder(String id) {
    this.id = id;
  }

  /** Sets the partner that the organisation belongs to. */
  @CanIgnoreReturnValue
  public OrganisationBuilder partner(String partnerId) {
    this.partner = partnerId;
    return this;
  }

  /** Sets the share of contended capacity relative to other organisations; 1 by default. */
  @CanIgnoreReturnValue
  public OrganisationBuilder weight(double relativeWeight) {
    this.weight = relativeWeight;
    return this;
  }

  /** Sets the limit on the rate of started requests over all nodes; 100 by default. */
  @CanIgnoreReturnValue
  public OrganisationBuilder requestsPerSecond(double limit) {
    this.requestsPerSecond = limit;
    return this;
  }

  /** Sets the limit on concurrent requests over all nodes; 32 by default. */
  @CanIgnoreReturnValue
  public OrganisationBuilder maxConcurrent(int limit) {
    this.maxConcurrent = limit;
    return this;
  }

  Organisation build() {
    return new Organisation(id, partner, weight, requestsPerSecond, maxConcurrent);
  }
}
