package io.briarward.node.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.UUID;

/**
 * Creates and parses incarnations, each of which identifies one process and the VM it runs on.
 *
 * <p>An incarnation identifies the VM by name and address, since a replacement VM may have the same
 * name while both VMs run.
 */
public final class Incarnations {
  private static final char SEPARATOR = '#';
  private static final Splitter PARTS_SPLITTER = Splitter.on(SEPARATOR);

  private Incarnations() {}

  /**
   * Creates an incarnation that is unique among all processes.
   *
   * @param vm the name of the VM
   * @param address the network address of the VM
   * @throws IllegalArgumentException if either contains the separator {@code #}
   */
  public static String create(String vm, String address) {
    checkArgument(vm.indexOf(SEPARATOR) < 0, "vm is %s, expected no %s", vm, SEPARATOR);
    checkArgument(
        address.indexOf(SEPARATOR) < 0, "address is %s, expected no %s", address, SEPARATOR);
    return vm + SEPARATOR + address + SEPARATOR + UUID.randomUUID();
  }

  /** Returns the name of the VM that the process runs on. */
  public static String vm(String incarnation) {
    return PARTS_SPLITTER.split(incarnation).iterator().next();
  }

  /**
   * Returns whether both processes run, or ran, on the same VM.
   *
   * <p>A VM runs one process at a time, so if one of two different processes is running, the other
   * is dead. An incarnation that is malformed matches none.
   */
  public static boolean sameVm(String incarnation, String other) {
    List<String> parts = PARTS_SPLITTER.splitToList(incarnation);
    List<String> others = PARTS_SPLITTER.splitToList(other);
    return parts.size() == 3
        && others.size() == 3
        && parts.subList(0, 2).equals(others.subList(0, 2));
  }
}
