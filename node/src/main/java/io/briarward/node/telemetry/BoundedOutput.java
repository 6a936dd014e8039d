package io.briarward.node.telemetry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;

/**
 * An output that never blocks its writers.
 *
 * <p>A thread of its own writes to the target, which may block for as long as nobody reads it. What
 * the target does not take is kept up to a bound; what exceeds the bound is dropped and counted,
 * and the count is written once the target takes bytes again. Thread-safe.
 */
public final class BoundedOutput extends OutputStream {
  /** Writes that come within this time are written to the target together. */
  private static final long GATHER_MILLIS = 20;

  private final OutputStream target;
  private final int maxBytes;
  private final Object lock = new Object();

  @GuardedBy("lock")
  private ByteArrayOutputStream pending = new ByteArrayOutputStream();

  @GuardedBy("lock")
  private boolean idle;

  @GuardedBy("lock")
  private boolean writing;

  @GuardedBy("lock")
  private boolean draining;

  @GuardedBy("lock")
  private long unreportedLosses;

  @GuardedBy("lock")
  private long lostWrites;

  private BoundedOutput(OutputStream target, int maxBytes) {
    this.target = checkNotNull(target, "target");
    this.maxBytes = maxBytes;
  }

  /**
   * Returns an output to a target that may block.
   *
   * @param maxBytes the number of bytes that wait for the target at most, beside those that it is
   *     given at the moment
   */
  public static BoundedOutput to(OutputStream target, int maxBytes) {
    checkArgument(maxBytes > 0, "maxBytes is %s, expected > 0", maxBytes);
    BoundedOutput output = new BoundedOutput(target, maxBytes);
    Thread thread = new Thread(output::writePending, "bounded-output");
    thread.setDaemon(true);
    thread.start();
    return output;
  }

  @Override
  public void write(int oneByte) {
    write(new byte[] {(byte) oneByte}, 0, 1);
  }

  /** Queues the bytes as a whole, or drops them all if they do not fit. */
  @Override
  public void write(byte[] bytes, int start, int length) {
    synchronized (lock) {
      if (length > maxBytes - pending.size()) {
        lostWrites++;
        unreportedLosses++;
        return;
      }
      pending.write(bytes, start, length);
      if (idle) {
        idle = false;
        lock.notifyAll();
      }
    }
  }

  /** Does nothing, since the target may block; see {@link #drain}. */
  @Override
  public void flush() {}

  /** Returns the number of writes that were dropped. */
  public long lostWrites() {
    synchronized (lock) {
      return lostWrites;
    }
  }

  /**
   * Waits until the target has taken all bytes that were written before.
   *
   * @return whether it has; if not, the time has passed
   */
  public boolean drain(long timeoutMillis) {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    synchronized (lock) {
      draining = true;
      lock.notifyAll();
      try {
        while (pending.size() > 0 || writing) {
          long leftMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
          if (leftMillis <= 0) {
            return false;
          }
          lock.wait(leftMillis);
        }
        return true;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      } finally {
        draining = false;
      }
    }
  }

  private void writePending() {
    try {
      while (true) {
        byte[] bytes = takePending();
        target.write(bytes);
        target.flush();
        synchronized (lock) {
          writing = false;
          lock.notifyAll();
        }
      }
    } catch (InterruptedException | IOException e) {
      // Nobody can be told: the target is the log. Further writes are dropped and counted.
      synchronized (lock) {
        pending = new ByteArrayOutputStream();
        writing = false;
        lock.notifyAll();
      }
    }
  }

  private byte[] takePending() throws InterruptedException {
    synchronized (lock) {
      while (pending.size() == 0) {
        idle = true;
        lock.wait();
      }
      if (!draining) {
        lock.wait(GATHER_MILLIS);
      }
      byte[] bytes = pending.toByteArray();
      pending = new ByteArrayOutputStream();
      writing = true;
      if (unreportedLosses == 0) {
        return bytes;
      }
      byte[] report = ("event=log-lines-lost count=" + unreportedLosses + "\n").getBytes(UTF_8);
      unreportedLosses = 0;
      byte[] joined = new byte[bytes.length + report.length];
      System.arraycopy(bytes, 0, joined, 0, bytes.length);
      System.arraycopy(report, 0, joined, bytes.length, report.length);
      return joined;
    }
  }
}
