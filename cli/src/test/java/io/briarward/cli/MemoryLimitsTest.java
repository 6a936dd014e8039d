package io.briarward.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class MemoryLimitsTest {
  private static final int EXIT_ON_OUT_OF_MEMORY = 3;
  private static final int TIMEOUT_SECONDS = 120;

  /** Fills the heap on the event loop. */
  static final class HeapFiller {
    private HeapFiller() {}

    public static void main(String[] arguments) {
      Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
      List<byte[]> held = new ArrayList<>();
      vertx.setPeriodic(1, unused -> held.add(new byte[1 << 20]));
    }
  }

  private static Path root() {
    Path directory = Path.of("").toAbsolutePath();
    while (!Files.exists(directory.resolve("deploy/system.toml"))) {
      directory = directory.getParent();
    }
    return directory;
  }

  /** Returns the options of the virtual machine in the command that runs a node. */
  private static ImmutableList<String> nodeOptions() throws Exception {
    String run =
        Files.readAllLines(root().resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    return Splitter.on(' ')
        .splitToStream(run)
        .filter(word -> word.startsWith("-X") || word.startsWith("-D"))
        .filter(word -> !word.startsWith("-XX:SharedArchiveFile"))
        .collect(ImmutableList.toImmutableList());
  }

  /** Guards against a node whose event loop has ended while its process runs on. */
  @Test
  void processEndsWhenItsHeapIsFull() throws Exception {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(nodeOptions());
    command.addAll(
        ImmutableList.of("-cp", System.getProperty("java.class.path"), HeapFiller.class.getName()));
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    try {
      assertWithMessage("ended within %s s", TIMEOUT_SECONDS)
          .that(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS))
          .isTrue();
      assertThat(process.exitValue()).isEqualTo(EXIT_ON_OUT_OF_MEMORY);
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void scriptSetsTheSameOption() throws Exception {
    String option = "-XX:+ExitOnOutOfMemoryError";
    assertThat(nodeOptions()).contains(option);
    assertThat(Files.readString(root().resolve("bin/briarward"))).contains(option);
  }
}
