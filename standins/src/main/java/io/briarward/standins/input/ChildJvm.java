package io.briarward.standins.input;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A process of the system under test on the class path of this one, with bounds on its memory and
 * its open descriptors.
 */
public final class ChildJvm implements AutoCloseable {
  private static final int KIB_PER_MIB = 1 << 10;

  private final Process process;
  private final Path output;

  private ChildJvm(Process process, Path output) {
    this.process = process;
    this.output = output;
  }

  /**
   * Starts a process.
   *
   * @param options the options of the virtual machine
   * @param maxDescriptors the number of descriptors that the process may open
   * @param output the file that receives what the process prints
   * @param arguments the main class and its arguments
   */
  public static ChildJvm start(
      List<String> options,
      int maxDescriptors,
      Path output,
      Map<String, String> environment,
      List<String> arguments)
      throws IOException {
    ProcessBuilder builder = builder(options, maxDescriptors, environment, arguments);
    return new ChildJvm(builder.redirectOutput(output.toFile()).start(), output);
  }

  /**
   * Starts a process whose standard output and error are a pipe that nobody reads.
   *
   * @param options the options of the virtual machine
   * @param maxDescriptors the number of descriptors that the process may open
   * @param arguments the main class and its arguments
   */
  public static ChildJvm startUnread(
      List<String> options,
      int maxDescriptors,
      Map<String, String> environment,
      List<String> arguments)
      throws IOException {
    ProcessBuilder builder = builder(options, maxDescriptors, environment, arguments);
    return new ChildJvm(builder.start(), Path.of("output-is-not-read"));
  }

  private static ProcessBuilder builder(
      List<String> options,
      int maxDescriptors,
      Map<String, String> environment,
      List<String> arguments) {
    List<String> command = new ArrayList<>();
    // The virtual machine raises its soft limit to the hard one, so the shell lowers both.
    command.addAll(
        ImmutableList.of("/bin/sh", "-c", "ulimit -n " + maxDescriptors + "; exec \"$@\"", "sh"));
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options);
    command.addAll(ImmutableList.of("-cp", classPath()));
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().putAll(environment);
    return builder;
  }

  /** Returns the class path of this process, also if it is in the manifest of a test runner. */
  private static String classPath() {
    return System.getProperty(
        "surefire.test.class.path", System.getProperty("java.class.path", "."));
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the largest size that the memory of the process had, in MiB. */
  public long peakMemoryMib() throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    return Files.readAllLines(status).stream()
        .filter(line -> line.startsWith("VmHWM:"))
        .map(line -> Splitter.on(' ').omitEmptyStrings().splitToList(line.replace('\t', ' ')))
        .mapToLong(words -> Long.parseLong(words.get(1)) / KIB_PER_MIB)
        .findFirst()
        .orElseThrow();
  }

  /** Returns the number of descriptors that the process has open; 0 if it has ended. */
  public int openDescriptors() {
    String[] names = new File("/proc/" + process.pid() + "/fd").list();
    return names == null ? 0 : names.length;
  }

  /** Asks the process to stop. */
  public void stop() {
    process.destroy();
  }

  /** Waits for the process to end and returns its exit code, or -1 if it runs on. */
  public int awaitExit(long seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  /** Returns the last lines that the process printed. */
  public String lastOutput() {
    try (Stream<String> lines = Files.lines(output)) {
      List<String> all = lines.toList();
      return String.join("\n", all.subList(Math.max(0, all.size() - 15), all.size()));
    } catch (IOException e) {
      return e.toString();
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
