package io.briarward.core.platform;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/** The table service's response to a transaction whose outcome is known. */
public sealed interface CommitResult {
  /**
   * All conditions held and all writes were applied.
   *
   * @param versions the new version of each row that was set
   */
  record Committed(ImmutableMap<RowKey, Long> versions) implements CommitResult {}

  /**
   * At least one condition did not hold and no write was applied.
   *
   * @param conflicts the current state of each row whose condition did not hold, empty if the row
   *     is absent
   */
  record Conflict(ImmutableMap<RowKey, Optional<Row>> conflicts) implements CommitResult {}

  /** Returns whether the writes were applied. */
  default boolean committed() {
    return this instanceof Committed;
  }
}
