package io.briarward.node.telemetry;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * Writes log lines to the standard output or the standard error without blocking.
 *
 * <p>Selected in the configuration of tinylog as {@code bounded console}; the property {@code
 * stream} is {@code out} or {@code err}.
 */
public final class BoundedConsoleWriter extends AbstractFormatPatternWriter {
  private final BoundedOutput output;

  /** Creates the writer that the properties of the configuration describe. */
  public BoundedConsoleWriter(Map<String, String> properties) {
    super(properties);
    output =
        "out".equals(properties.get("stream"))
            ? ProcessOutput.standardOutput()
            : ProcessOutput.standardError();
  }

  @Override
  public void write(LogEntry entry) {
    byte[] line = render(entry).getBytes(UTF_8);
    output.write(line, 0, line.length);
  }

  /** Does nothing; the output is drained at the end of the process. */
  @Override
  public void flush() {}

  @Override
  public void close() {}
}
