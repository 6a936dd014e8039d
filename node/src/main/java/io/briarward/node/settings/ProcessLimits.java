package io.briarward.node.settings;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** The limits that this process was started with. */
public final class ProcessLimits {
  /** The usual soft limit, for systems that do not tell theirs. */
  private static final long UNKNOWN_MAX_DESCRIPTORS = 1_024;

  private ProcessLimits() {}

  /** Returns the maximum size of the heap, in bytes. */
  public static long maxHeapBytes() {
    return Runtime.getRuntime().maxMemory();
  }

  /** Returns the number of descriptors that the process may open. */
  public static long maxDescriptors() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean unix
        ? unix.getMaxFileDescriptorCount()
        : UNKNOWN_MAX_DESCRIPTORS;
  }

  /** Returns the number of descriptors that the process has open; 0 if the system tells none. */
  public static long openDescriptors() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean unix
        ? unix.getOpenFileDescriptorCount()
        : 0;
  }
}
