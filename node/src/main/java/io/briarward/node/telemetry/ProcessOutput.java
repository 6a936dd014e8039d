package io.briarward.node.telemetry;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Supplier;
import com.google.common.base.Suppliers;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;

/**
 * The standard output and the standard error of this process, to which no thread of a node writes
 * directly: whoever reads them may pause or go away.
 */
public final class ProcessOutput {
  /** More than a minute of lines at the sustained rate of {@link EventLog} takes. */
  private static final int MAX_PENDING_BYTES = 1 << 20;

  /** For how long the process waits at its end for a reader of its last lines. */
  private static final long DRAIN_MILLIS = 300;

  private static final Supplier<BoundedOutput> STANDARD_OUTPUT =
      Suppliers.memoize(() -> open(FileDescriptor.out));
  private static final Supplier<BoundedOutput> STANDARD_ERROR =
      Suppliers.memoize(() -> open(FileDescriptor.err));

  private ProcessOutput() {}

  private static BoundedOutput open(FileDescriptor descriptor) {
    BoundedOutput output = BoundedOutput.to(new FileOutputStream(descriptor), MAX_PENDING_BYTES);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> output.drain(DRAIN_MILLIS)));
    return output;
  }

  /** Returns the standard output, which is drained at the end of the process. */
  public static BoundedOutput standardOutput() {
    return STANDARD_OUTPUT.get();
  }

  /** Returns the standard error, which is drained at the end of the process. */
  public static BoundedOutput standardError() {
    return STANDARD_ERROR.get();
  }

  /**
   * Makes {@link System#out} and {@link System#err} write without blocking, for libraries that
   * print and for exceptions that nobody handles.
   */
  public static void redirectSystemStreams() {
    System.setOut(new PrintStream(standardOutput(), true, UTF_8));
    System.setErr(new PrintStream(standardError(), true, UTF_8));
  }

  /** Returns the number of writes to both that were dropped since nobody read them. */
  static long lostWrites() {
    return standardOutput().lostWrites() + standardError().lostWrites();
  }
}
