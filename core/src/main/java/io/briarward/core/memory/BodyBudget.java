package io.briarward.core.memory;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides which request bodies are kept in memory at the same time.
 *
 * <p>A body is admitted by the length that it announces, or else by what was received of it, in
 * order of arrival. Nothing waits: a body that does not fit is rejected. Short bodies have bytes of
 * their own, so that requests with short bodies are served while long ones take up the rest.
 * Thread-safe; a share belongs to one thread.
 */
public final class BodyBudget {
  private final int maxShortBytes;
  private final ByteBudget shortBodies;
  private final ByteBudget longBodies;

  private BodyBudget(int maxShortBytes, ByteBudget shortBodies, ByteBudget longBodies) {
    this.maxShortBytes = maxShortBytes;
    this.shortBodies = shortBodies;
    this.longBodies = longBodies;
  }

  /**
   * Returns a budget of which nothing is held.
   *
   * @param maxShortBytes the size of the longest body that counts as short
   * @param shortBytes the size of all short bodies together
   * @param longBytes the size of all longer bodies together
   */
  public static BodyBudget of(int maxShortBytes, long shortBytes, long longBytes) {
    return of(maxShortBytes, shortBytes, ByteBudget.of(longBytes));
  }

  /**
   * Returns a budget of which nothing is held.
   *
   * @param maxShortBytes the size of the longest body that counts as short
   * @param shortBytes the size of all short bodies together
   * @param longBodies the budget of all longer bodies
   */
  public static BodyBudget of(int maxShortBytes, long shortBytes, ByteBudget longBodies) {
    checkArgument(maxShortBytes > 0, "maxShortBytes is %s, expected > 0", maxShortBytes);
    return new BodyBudget(maxShortBytes, ByteBudget.of(shortBytes), longBodies);
  }

  /** Returns the size of all bodies that are kept, in bytes. */
  public long heldBytes() {
    return shortBodies.heldBytes() + longBodies.heldBytes();
  }

  /** Returns the share of a body of which nothing is kept. */
  public Share open() {
    return new Share();
  }

  /** The memory of one body. */
  public final class Share implements AutoCloseable {
    private final ByteBudget.Share asShort = shortBodies.open();
    private final ByteBudget.Share asLong = longBodies.open();
    private boolean closed;

    private Share() {}

    /**
     * Admits a body of which {@code bytes} are kept, unless it is admitted already.
     *
     * @return whether it fits; if not, the body must be rejected
     */
    public boolean admit(long bytes) {
      if (closed) {
        return false;
      }
      if (bytes <= asShort.bytes() + asLong.bytes()) {
        return true;
      }
      if (bytes <= maxShortBytes && asLong.bytes() == 0) {
        return asShort.resize(bytes);
      }
      boolean fits = asLong.resize(bytes);
      if (fits) {
        asShort.resize(0);
      }
      return fits;
    }

    /** Gives the memory back; nothing is admitted afterwards. */
    @Override
    public void close() {
      closed = true;
      asShort.close();
      asLong.close();
    }
  }
}
