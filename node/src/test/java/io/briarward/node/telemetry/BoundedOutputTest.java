package io.briarward.node.telemetry;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a log whose reader pauses and that stops the thread which writes to it. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class BoundedOutputTest {
  private static final int MAX_BYTES = 100;
  private static final long LONG_MILLIS = 60_000;
  private static final byte[] LINE = "123456789\n".getBytes(UTF_8);

  private final StallingTarget target = new StallingTarget();
  private final BoundedOutput output = BoundedOutput.to(target, MAX_BYTES);

  /** A target that takes no bytes until it is read. */
  private static final class StallingTarget extends OutputStream {
    final CountDownLatch reached = new CountDownLatch(1);
    final CountDownLatch read = new CountDownLatch(1);
    private final ByteArrayOutputStream taken = new ByteArrayOutputStream();

    @Override
    public void write(int oneByte) {
      throw new AssertionError("single bytes are not written");
    }

    @Override
    public void write(byte[] bytes, int start, int length) throws IOException {
      reached.countDown();
      try {
        read.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
      synchronized (this) {
        taken.write(bytes, start, length);
      }
    }

    synchronized String taken() {
      return taken.toString(UTF_8);
    }
  }

  private void writeLine() {
    output.write(LINE, 0, LINE.length);
  }

  /** Writes a line with which the target blocks. */
  private void stall() throws InterruptedException {
    writeLine();
    target.reached.await();
  }

  @Test
  void writesBeyondTheBoundAreDroppedAndCounted() throws Exception {
    stall();
    for (int i = 0; i < 25; i++) {
      writeLine();
    }
    assertThat(output.lostWrites()).isEqualTo(15);
    target.read.countDown();
    assertThat(output.drain(LONG_MILLIS)).isTrue();
    assertThat(target.taken())
        .isEqualTo("123456789\n".repeat(11) + "event=log-lines-lost count=15\n");
  }

  @Test
  void writesAreTakenAgainOnceTheTargetIsRead() throws Exception {
    stall();
    for (int i = 0; i < 25; i++) {
      writeLine();
    }
    target.read.countDown();
    assertThat(output.drain(LONG_MILLIS)).isTrue();
    writeLine();
    assertThat(output.drain(LONG_MILLIS)).isTrue();
    assertThat(output.lostWrites()).isEqualTo(15);
    assertThat(target.taken()).endsWith("count=15\n123456789\n");
  }

  @Test
  void drainGivesUpWhileNobodyReadsTheTarget() throws Exception {
    stall();
    assertThat(output.drain(10)).isFalse();
    target.read.countDown();
    assertThat(output.drain(LONG_MILLIS)).isTrue();
  }

  @Test
  void writeLargerThanTheBoundIsDropped() {
    output.write(new byte[MAX_BYTES + 1], 0, MAX_BYTES + 1);
    assertThat(output.lostWrites()).isEqualTo(1);
  }

  @Test
  void writersGoOnAfterTheTargetHasFailed() throws Exception {
    BoundedOutput failing =
        BoundedOutput.to(
            new OutputStream() {
              @Override
              public void write(int oneByte) throws IOException {
                throw new IOException("closed");
              }
            },
            MAX_BYTES);
    for (int i = 0; i < 1_000; i++) {
      failing.write(LINE, 0, LINE.length);
    }
    assertThat(failing.lostWrites()).isAtLeast(1);
  }
}
