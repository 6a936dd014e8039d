package io.briarward.experiments.bench;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the CPU time and memory of a process from {@code /proc}. */
final class ProcessUsage {
  private static final int USER_TICKS_FIELD = 11;
  private static final int SYSTEM_TICKS_FIELD = 12;
  private static final double TICKS_PER_SECOND = 100;
  private static final Splitter SPACE = Splitter.on(' ').omitEmptyStrings();

  private final long pid;

  ProcessUsage(long pid) {
    this.pid = pid;
  }

  /** Returns the CPU time used so far in seconds, user and system. */
  double cpuSeconds() {
    String stat = read("stat");
    List<String> fields = SPACE.splitToList(stat.substring(stat.lastIndexOf(')') + 1));
    long ticks =
        Long.parseLong(fields.get(USER_TICKS_FIELD))
            + Long.parseLong(fields.get(SYSTEM_TICKS_FIELD));
    return ticks / TICKS_PER_SECOND;
  }

  /** Returns the resident memory in MiB. */
  double residentMebibytes() {
    return read("status")
        .lines()
        .filter(line -> line.startsWith("VmRSS:"))
        .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024)
        .findFirst()
        .orElseThrow();
  }

  private String read(String name) {
    try {
      return Files.readString(Path.of("/proc", Long.toString(pid), name));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
