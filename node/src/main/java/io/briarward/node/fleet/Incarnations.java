package io.briarward.node.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.UUID;

/**
 * Names of processes, unique to each start, that tell the VM they run on.
 *
 * <p>A VM is known by its name and its address, since one that replaces another may bear its name
 * while both run.
 */
public final class Incarnations {
  private static final char SEPARATOR = '#';
  private static final Splitter PARTS = Splitter.on(SEPARATOR);

  private Incarnations() {}

  /**
   * Returns a name that no other process has.
   *
   * @param vm the VM's name
   * @param address where the VM is reached
   */
  public static String create(String vm, String address) {
    checkArgument(vm.indexOf(SEPARATOR) < 0, "vm is %s, expected no %s", vm, SEPARATOR);
    checkArgument(
        address.indexOf(SEPARATOR) < 0, "address is %s, expected no %s", address, SEPARATOR);
    return vm + SEPARATOR + address + SEPARATOR + UUID.randomUUID();
  }

  /** Returns the name of the VM that a process runs on. */
  public static String vm(String incarnation) {
    return PARTS.split(incarnation).iterator().next();
  }

  /**
   * Returns whether one process runs, or ran, in the other's place.
   *
   * <p>A VM runs one process at a time, so the other one is dead if either runs.
   */
  public static boolean sameVm(String incarnation, String other) {
    List<String> parts = PARTS.splitToList(incarnation);
    List<String> others = PARTS.splitToList(other);
    return parts.size() == 3
        && others.size() == 3
        && parts.subList(0, 2).equals(others.subList(0, 2));
  }
}
