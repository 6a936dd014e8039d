package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A limit that applies to all nodes together.
 *
 * @param id unique among limits, such as an organisation's id
 * @param total the amount shared by all nodes
 */
public record Limit(String id, Share total) {
  /** Checks the fields. */
  public Limit {
    checkNotNull(id, "id");
    checkNotNull(total, "total");
  }
}
