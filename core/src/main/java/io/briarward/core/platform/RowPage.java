package io.briarward.core.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.Optional;

/**
 * A part of the rows that a scan matches, in the order of their keys.
 *
 * <p>A table service limits the size of a page as well as its number of rows, so only {@link
 * #truncated} tells whether a page is the last one.
 *
 * @param rows the rows
 * @param truncated whether further rows may match; such a page has at least one row
 */
public record RowPage(ImmutableList<Row> rows, boolean truncated) {
  /** Validates the components. */
  public RowPage {
    checkNotNull(rows, "rows");
    checkArgument(!truncated || !rows.isEmpty(), "truncated page has no rows");
  }

  /** Returns the key after which the next page starts, or empty if this page is the last one. */
  public Optional<String> nextAfter() {
    return truncated ? Optional.of(Iterables.getLast(rows).key()) : Optional.empty();
  }
}
