package io.briarward.core.batch;

/**
 * Decides how often a batch whose items samplers reject is tried, and its rank among others.
 *
 * <p>A rejection says that a sampler is full, or that it never takes the item. A sampler gets one
 * probe at a time after a rejection, so a batch that is rejected by all samplers would use up the
 * probes that show others whether there is room. After several consecutive rejections a batch tries
 * one item at a time, less and less often, and after all batches that were rejected less. Not
 * thread-safe.
 */
public final class RejectionBackoff {
  /** Full samplers reject as many items of a batch now and then. */
  private static final int MAX_UNLIMITED_REJECTIONS = 16;

  private static final long FIRST_DELAY_MILLIS = 25;
  private static final int MAX_DOUBLINGS = 3;

  private int rejections;
  private int inFlight;
  private long notBeforeMillis = Long.MIN_VALUE;

  private RejectionBackoff() {}

  /** Returns the state of a batch that was not rejected. */
  public static RejectionBackoff create() {
    return new RejectionBackoff();
  }

  /** Returns whether an item may be sent to a sampler now. */
  public boolean permits(long nowMillis) {
    return rank() == 0 || (inFlight == 0 && nowMillis >= notBeforeMillis);
  }

  /**
   * Returns the rank among batches: 0 unless the batch is rejected, then growing with the logarithm
   * of the rejections, so that batches which are rejected alike keep their order.
   */
  public int rank() {
    return rejections < MAX_UNLIMITED_REJECTIONS
        ? 0
        : Integer.SIZE - Integer.numberOfLeadingZeros(rejections / MAX_UNLIMITED_REJECTIONS);
  }

  /** Handles an item that was sent to a sampler. */
  public void onSent() {
    inFlight++;
  }

  /** Handles an item that a sampler accepted and began to run. */
  public void onAccepted() {
    rejections = 0;
  }

  /** Handles the end of a run, whatever its outcome. */
  public void onEnded() {
    inFlight--;
  }

  /** Handles the end of a run that the sampler rejected. */
  public void onRejected(long nowMillis) {
    inFlight--;
    rejections++;
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, rank() - 1));
    notBeforeMillis = nowMillis + (FIRST_DELAY_MILLIS << doublings);
  }
}
