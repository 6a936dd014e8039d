package io.briarward.core.forwarding;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.memory.ByteBudget;

/**
 * Decides how much of a response is held back before any of it is passed on.
 *
 * <p>While a response is held back, another upstream can still answer if this one breaks off. A
 * response that is too long, or for which no memory is left beside those of other requests, is
 * passed on as it arrives. Short ones need none of the shared memory, so a few servers that send
 * bytes without end do not take this protection from other requests. Not thread-safe.
 */
public final class HoldBack implements AutoCloseable {
  /** What each response may hold without a share of the budget; more than most responses have. */
  private static final long MIN_HELD_BYTES = 4 << 10;

  private final ByteBudget.Share share;
  private final long maxBytes;
  private boolean closed;

  private HoldBack(ByteBudget.Share share, long maxBytes) {
    this.share = share;
    this.maxBytes = maxBytes;
  }

  /**
   * Returns the decision for one response, of which nothing is held.
   *
   * @param budget the memory for all responses that are held back
   * @param maxBytes the largest part of this response that is held back; 0 to hold back nothing
   */
  public static HoldBack of(ByteBudget budget, long maxBytes) {
    checkNotNull(budget, "budget");
    checkArgument(maxBytes >= 0, "maxBytes is %s, expected >= 0", maxBytes);
    return new HoldBack(budget.open(), maxBytes);
  }

  /**
   * Returns whether the response is still held back when {@code bytes} of it have been received.
   *
   * <p>Once it is not, all of it must be passed on; the memory is given back.
   */
  public boolean hold(long bytes) {
    boolean fits =
        !closed
            && bytes <= maxBytes
            && (bytes <= MIN_HELD_BYTES || share.resize(bytes - MIN_HELD_BYTES));
    if (!fits) {
      close();
    }
    return fits;
  }

  /** Gives the memory back; nothing is held afterwards. */
  @Override
  public void close() {
    closed = true;
    share.close();
  }
}
