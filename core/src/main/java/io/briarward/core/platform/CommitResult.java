package io.briarward.core.platform;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/** The answer of the table service to a transaction whose outcome is known. */
public sealed interface CommitResult {
  /**
   * All conditions held and all writes were applied.
   *
   * @param versions the new version of each row that was set
   */
  record Committed(ImmutableMap<RowKey, Long> versions) implements CommitResult {}

  /**
   * Some condition did not hold and nothing was applied.
   *
   * @param conflicts the present state of each row whose condition failed; empty when it is absent
   */
  record Conflict(ImmutableMap<RowKey, Optional<Row>> conflicts) implements CommitResult {}

  /** Returns whether the writes were applied. */
  default boolean committed() {
    return this instanceof Committed;
  }
}
