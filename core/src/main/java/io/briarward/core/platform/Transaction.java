package io.briarward.core.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * Writes that are applied atomically if all conditions hold.
 *
 * <p>Immutable and thread-safe. Example:
 *
 * <pre>{@code
 * Transaction insert =
 *     Transaction.builder().requireAbsent(key).put(key, value).build();
 * }</pre>
 */
public record Transaction(ImmutableList<Condition> conditions, ImmutableList<Write> writes) {
  /** The version that stands for an absent row. */
  public static final long ABSENT = 0;

  /** Validates the components. */
  public Transaction {
    checkNotNull(conditions, "conditions");
    checkNotNull(writes, "writes");
  }

  /**
   * A condition that a row has a given version.
   *
   * @param row the key of the row
   * @param version the expected version, {@link #ABSENT} for a row that must not exist
   */
  public record Condition(RowKey row, long version) {
    /** Validates the components. */
    public Condition {
      checkNotNull(row, "row");
      checkArgument(version >= ABSENT, "version is %s, expected >= 0", version);
    }
  }

  /**
   * A write that sets or deletes a row.
   *
   * @param row the key of the row
   * @param value the new value, or empty to delete the row
   */
  public record Write(RowKey row, Optional<JsonNode> value) {
    /** Validates the components. */
    public Write {
      checkNotNull(row, "row");
      checkNotNull(value, "value");
    }
  }

  /** Returns a builder without conditions and writes. */
  public static Builder builder() {
    return new Builder();
  }

  /** A builder of transactions. Not thread-safe. */
  public static final class Builder {
    private final ImmutableList.Builder<Condition> conditions = ImmutableList.builder();
    private final ImmutableList.Builder<Write> writes = ImmutableList.builder();

    private Builder() {}

    /** Requires that the row has {@code version}. */
    public Builder requireVersion(RowKey row, long version) {
      conditions.add(new Condition(row, version));
      return this;
    }

    /** Requires that the row does not exist. */
    public Builder requireAbsent(RowKey row) {
      return requireVersion(row, ABSENT);
    }

    /** Sets the row. */
    public Builder put(RowKey row, JsonNode value) {
      writes.add(new Write(row, Optional.of(value)));
      return this;
    }

    /** Deletes the row. */
    public Builder delete(RowKey row) {
      writes.add(new Write(row, Optional.empty()));
      return this;
    }

    /** Returns a transaction with the conditions and writes added so far. */
    public Transaction build() {
      return new Transaction(conditions.build(), writes.build());
    }
  }
}
