package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Derives the urgency class of an item, by which samplers admit the items of all owners.
 *
 * <p>Answers the load of several owners on too few samplers: none of them knows the items of the
 * others, so the one that sends first would get the slots. Owners that derive the class from the
 * slack agree with each other without messages.
 */
public final class UrgencyClass {
  /** The class of requests without one. */
  public static final int NEUTRAL = 5;

  private static final int LATE = 7;
  private static final int SURPLUS = 9;

  /** Four classes of a second each cover half of the usual time until a batch is due. */
  private static final long MILLIS_PER_CLASS = 1_000;

  private UrgencyClass() {}

  /**
   * Returns the class of an item, from 0, the most urgent, to 9.
   *
   * <p>Items that can be on time have a class for each second of slack, at most the neutral one.
   * Items of groups that are late or not needed follow the requests without a class.
   *
   * @param standing the standing of the item's group
   * @param leftMillis the time until the batch is due, negative if that time has passed
   * @param neededMillis the time that the rest of the item needs
   */
  public static int of(GroupStanding standing, long leftMillis, long neededMillis) {
    return switch (checkNotNull(standing, "standing")) {
      case ON_TIME ->
          (int) Math.min(NEUTRAL, Math.max(0, leftMillis - neededMillis) / MILLIS_PER_CLASS);
      case LATE -> LATE;
      case SURPLUS -> SURPLUS;
    };
  }
}
