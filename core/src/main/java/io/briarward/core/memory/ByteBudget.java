package io.briarward.core.memory;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import com.google.errorprone.annotations.concurrent.GuardedBy;

/**
 * A number of bytes that concurrent users share, in the order in which they ask.
 *
 * <p>Nobody waits for bytes: a request that does not fit is rejected at once, and the user keeps
 * what it holds until it closes its {@link Share}. The memory of all users together stays within
 * the budget whatever their number. Thread-safe; a share belongs to one thread.
 */
public final class ByteBudget {
  private final long maxBytes;

  @GuardedBy("this")
  private long heldBytes;

  private ByteBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns a budget of which nothing is held. */
  public static ByteBudget of(long maxBytes) {
    checkArgument(maxBytes > 0, "maxBytes is %s, expected > 0", maxBytes);
    return new ByteBudget(maxBytes);
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
      synchronized (ByteBudget.this) {
        if (bytes - shareBytes > maxBytes - heldBytes) {
          return false;
        }
        heldBytes += bytes - shareBytes;
      }
      shareBytes = bytes;
      return true;
    }

    /** Returns the number of bytes that the user holds. */
    public long bytes() {
      return shareBytes;
    }

    /** Gives all bytes back; does nothing if the share is closed. */
    @Override
    public void close() {
      synchronized (ByteBudget.this) {
        heldBytes -= shareBytes;
      }
      shareBytes = 0;
      closed = true;
    }
  }
}
