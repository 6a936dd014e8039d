package io.briarward.cli;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class AdapterNamesTest {
  /** Headers and paths of the platform, which share a prefix that nothing of the product has. */
  private static final Pattern PLATFORM_NAME =
      Pattern.compile("\"(Briarward-|briarward-weight|Api-Key|/briarward/|/usage|/scale)");

  private static final ImmutableList<String> MODULES =
      ImmutableList.of("core", "wire", "operator", "node", "standins", "experiments", "cli");

  private static Stream<Path> sources(String module) {
    try (Stream<Path> files = Files.walk(Path.of("..", module, "src"))) {
      return files.filter(file -> file.toString().endsWith(".java")).toList().stream();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static boolean namesThePlatform(Path file) {
    try {
      return !file.endsWith("AdapterNamesTest.java")
          && PLATFORM_NAME.matcher(Files.readString(file)).find();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void onlyTheAdapterKnowsThePlatformsNames() {
    assertThat(
            MODULES.stream()
                .flatMap(AdapterNamesTest::sources)
                .filter(AdapterNamesTest::namesThePlatform)
                .toList())
        .isEmpty();
  }
}
