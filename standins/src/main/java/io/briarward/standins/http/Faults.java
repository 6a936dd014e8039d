package io.briarward.standins.http;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.EnumMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The faults of one stand-in and their present values. Confined to the stand-in's event loop. */
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
   * Returns the faults that every stand-in supports and the given ones, all switched off.
   *
   * @param seed the seed of the draws that decide which operations a fault hits
   */
  public static Faults of(long seed, Fault... more) {
    Set<Fault> supported = Sets.union(COMMON, ImmutableSet.copyOf(more));
    return new Faults(Sets.immutableEnumSet(supported), seed);
  }

  /** Returns the faults that can be switched on. */
  public ImmutableSet<Fault> supported() {
    return supported;
  }

  /** Switches a fault on, or off with the value 0. */
  public void set(Fault fault, double value) {
    checkArgument(supported.contains(fault), "fault %s is not supported here", fault.label());
    checkArgument(value >= 0, "value is %s, expected >= 0", value);
    values.put(fault, value);
  }

  /** Returns the value of a fault, 0 when it is off. */
  public double value(Fault fault) {
    return values.getOrDefault(fault, 0.0);
  }

  /** Returns the value of a fault, or {@code fallback} when it is off. */
  public double valueOr(Fault fault, double fallback) {
    return on(fault) ? value(fault) : fallback;
  }

  /** Returns whether a fault is on. */
  public boolean on(Fault fault) {
    return value(fault) > 0;
  }

  /** Draws whether a fault whose value is a share hits the present operation. */
  public boolean hits(Fault fault) {
    return on(fault) && random.nextDouble() < value(fault);
  }
}
