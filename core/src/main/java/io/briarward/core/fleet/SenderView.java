package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;

/**
 * The nodes among which the rate of a cold upstream is divided, and which part of its rate this
 * node may use.
 *
 * <p>Answers to partitions, suspensions, restarts and new nodes while upstreams are cold. Each node
 * that sends is counted by every other node that sends, so that senders chosen by the names of the
 * counted nodes are never more than intended, whatever rows a node lacks:
 *
 * <ul>
 *   <li>A new node sends once its row is older than the rows by which any other node still sends.
 *       Its row then says that it is established, and the next process on the same VM continues.
 *   <li>A node without current rows uses half of its rate by the last known ones, for {@value
 *       #VALID_MILLIS} ms.
 *   <li>A node that is lost or has left is counted for a long time, so that nobody takes its place
 *       while it may still send.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class SenderView {
  /** The time for which a node sends by rows that are no longer current. */
  static final long VALID_MILLIS = 15_000;

  /**
   * The time after which a new node sends. Exceeds {@link #VALID_MILLIS} by more than the time in
   * which a current node reads a row.
   */
  static final long SETTLE_MILLIS = 18_000;

  /** The age at which rows are no longer current, as in the registry of nodes. */
  static final long CURRENT_MILLIS = 2_000;

  /** The time for which a node is counted after its row was last renewed or was deleted. */
  static final long RETENTION_MILLIS = 600_000;

  /** The absence after which others may have ceased to count a node, so that it is new. */
  static final long MAX_ABSENCE_MILLIS = 500_000;

  private static final double STALE_PART = 0.5;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final String self;
  private final Map<String, Long> seenAtMillis = new HashMap<>();
  private ImmutableSet<String> names;
  private long nextExpiryMillis = Long.MAX_VALUE;
  private long contactMillis = NEVER;
  private long firstContactMillis = NEVER;
  private boolean established;
  private boolean current;
  private boolean left;

  private SenderView(String self) {
    this.self = checkNotNull(self, "self");
    this.names = ImmutableSet.of(self);
  }

  /** Creates the view of a new node that has read no rows. */
  public static SenderView create(String self) {
    return new SenderView(self);
  }

  /**
   * Handles the row of a node.
   *
   * @param ofThisProcess whether this process wrote the row
   * @param ofEstablished whether the row says that the node is established
   */
  public void onRow(String name, boolean ofThisProcess, boolean ofEstablished, long nowMillis) {
    if (seenAtMillis.put(name, nowMillis) == null) {
      updateNames();
    }
    nextExpiryMillis = Math.min(nextExpiryMillis, nowMillis + RETENTION_MILLIS);
    if (name.equals(self) && !ofThisProcess && ofEstablished && !established) {
      established = true;
      contactMillis = Math.max(contactMillis, nowMillis);
    }
  }

  /**
   * Handles the state of the connection to the store.
   *
   * @param lastContactMillis the latest time by which the store had both sent rows to this process
   *     and accepted its row; far in the past if it never did
   * @param isCurrent whether the rows are current
   */
  public void onContact(long lastContactMillis, boolean isCurrent, long nowMillis) {
    if (nowMillis - contactMillis > MAX_ABSENCE_MILLIS) {
      established = false;
      firstContactMillis = NEVER;
    }
    contactMillis = Math.max(contactMillis, lastContactMillis);
    current = isCurrent;
    if (firstContactMillis == NEVER && nowMillis - lastContactMillis < CURRENT_MILLIS) {
      firstContactMillis = nowMillis;
    }
    if (isCurrent
        && firstContactMillis != NEVER
        && nowMillis - firstContactMillis >= SETTLE_MILLIS) {
      established = true;
    }
    if (nowMillis >= nextExpiryMillis) {
      removeExpired(nowMillis);
    }
  }

  private void removeExpired(long nowMillis) {
    seenAtMillis.values().removeIf(seen -> nowMillis - seen >= RETENTION_MILLIS);
    nextExpiryMillis =
        RETENTION_MILLIS
            + seenAtMillis.values().stream().mapToLong(Long::longValue).min().orElse(nowMillis);
    updateNames();
  }

  /** Handles the removal of this process's own row, after which it sends nothing. */
  public void onLeave() {
    left = true;
  }

  /** Returns whether every node that sends counts this one. */
  public boolean isEstablished() {
    return established;
  }

  /** Returns the names of the counted nodes, including this one. */
  ImmutableSet<String> names() {
    return names;
  }

  /** Returns the part of its rate that this node may use now. */
  double part(long nowMillis) {
    long ageMillis = nowMillis - contactMillis;
    if (left || !established || ageMillis > VALID_MILLIS) {
      return 0;
    }
    return current && ageMillis <= CURRENT_MILLIS ? 1 : STALE_PART;
  }

  private void updateNames() {
    names = ImmutableSet.<String>builder().addAll(seenAtMillis.keySet()).add(self).build();
  }
}
