package io.briarward.standins.http;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.EnumMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The faults that a stand-in supports and their current values.
 *
 * <p>Confined to the stand-in's event loop.
 */
public final class Faults {
  private static final ImmutableSet<Fault> COMMON =
      Sets.immutableEnumSet(
          Fault.OUTAGE,
          Fault.HANG,
          Fault.CRASH_MILLIS,
          Fault.DELAY_MILLIS,
          Fault.REQUEST_LOST_SHARE,
          Fault.ANSWER_LOST_SHARE);

  private final ImmutableSet<Fault> supported;
  private final Map<Fault, Double> values = new EnumMap<>(Fault.class);
  private final Random random;

  private Faults(ImmutableSet<Fault> supported, long seed) {
    this.supported = supported;
    this.random = new Random(seed);
  }

  /**
   * Returns the faults that every stand-in supports and the given additional ones, all switched
   * off.
   *
   * @param seed the seed of the random choice of affected operations
   */
  public static Faults of(long seed, Fault... more) {
    Set<Fault> supported = Sets.union(COMMON, ImmutableSet.copyOf(more));
    return new Faults(Sets.immutableEnumSet(supported), seed);
  }

  public ImmutableSet<Fault> supported() {
    return supported;
  }

  /**
   * Sets the value of a fault; 0 switches it off.
   *
   * @throws IllegalArgumentException if the fault is not supported or the value is negative
   */
  public void set(Fault fault, double value) {
    checkArgument(
        supported.contains(fault), "fault %s is not supported by this stand-in", fault.label());
    checkArgument(value >= 0, "value is %s, expected >= 0", value);
    values.put(fault, value);
  }

  /** Returns the value of a fault, or 0 if it is off. */
  public double value(Fault fault) {
    return values.getOrDefault(fault, 0.0);
  }

  /** Returns the value of a fault, or {@code defaultValue} if it is off. */
  public double valueOr(Fault fault, double defaultValue) {
    return isOn(fault) ? value(fault) : defaultValue;
  }

  /** Returns whether a fault is switched on. */
  public boolean isOn(Fault fault) {
    return value(fault) > 0;
  }

  /** Randomly decides whether a fault whose value is a share affects the current operation. */
  public boolean shouldInject(Fault fault) {
    return isOn(fault) && random.nextDouble() < value(fault);
  }
}
