package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to {@code record.txt}, with times in seconds. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void line(String format, Object... values) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    out.printf(Locale.ROOT, "%8.3f ", seconds);
    out.printf(Locale.ROOT, format, values);
    out.println();
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
