package io.briarward.core.memory;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.Optional;

/**
 * A number of bytes that concurrent users share, in the order in which they ask.
 *
 * <p>Nobody waits for bytes: a request that does not fit is rejected at once, and the user keeps
 * what it holds until it closes its {@link Share}. The memory of all users together stays within
 * the budget whatever their number. Thread-safe; a share belongs to one thread.
 */
public final class ByteBudget {
  private final long maxBytes;
  private final Optional<ByteBudget> parent;

  @GuardedBy("this")
  private long heldBytes;

  private ByteBudget(long maxBytes, Optional<ByteBudget> parent) {
    this.maxBytes = maxBytes;
    this.parent = parent;
  }

  /** Returns a budget of which nothing is held. */
  public static ByteBudget of(long maxBytes) {
    checkArgument(maxBytes > 0, "maxBytes is %s, expected > 0", maxBytes);
    return new ByteBudget(maxBytes, Optional.empty());
  }

  /**
   * Returns a budget of which nothing is held and whose bytes also count in this one, so that
   * several uses have bounds of their own and one in common.
   */
  public ByteBudget part(long partMaxBytes) {
    checkArgument(partMaxBytes > 0, "partMaxBytes is %s, expected > 0", partMaxBytes);
    return new ByteBudget(partMaxBytes, Optional.of(this));
  }

  /** Returns the number of bytes that one user can hold if there is no other. */
  public long maxBytes() {
    return Math.min(maxBytes, parent.map(ByteBudget::maxBytes).orElse(Long.MAX_VALUE));
  }

  /** Returns the number of bytes that all users hold together. */
  public synchronized long heldBytes() {
    return heldBytes;
  }

  /** Returns a new share that holds nothing. */
  public Share open() {
    return new Share();
  }

  /** The bytes that one user holds. */
  public final class Share implements AutoCloseable {
    private long shareBytes;
    private boolean closed;

    private Share() {}

    /**
     * Sets the number of bytes that the user holds.
     *
     * @return whether they fit; if not, the user holds as many as before
     */
    public boolean resize(long bytes) {
      checkArgument(bytes >= 0, "bytes is %s, expected >= 0", bytes);
      checkState(!closed, "the share is closed");
      boolean fits = add(bytes - shareBytes);
      shareBytes = fits ? bytes : shareBytes;
      return fits;
    }

    /** Returns the number of bytes that the user holds. */
    public long bytes() {
      return shareBytes;
    }

    /** Gives all bytes back; does nothing if the share is closed. */
    @Override
    public void close() {
      remove(shareBytes);
      shareBytes = 0;
      closed = true;
    }
  }

  /** Holds more bytes, or fewer if negative; returns whether they fit. */
  private synchronized boolean add(long bytes) {
    if (bytes > maxBytes - heldBytes || !parent.map(each -> each.add(bytes)).orElse(true)) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  private synchronized void remove(long bytes) {
    parent.ifPresent(each -> each.remove(bytes));
    heldBytes -= bytes;
  }
}
