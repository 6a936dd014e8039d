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
  /** Matches the platform's headers and paths in strings; no other names have these prefixes. */
  private static final Pattern PLATFORM_NAME =
      Pattern.compile("\"(Briarward-|briarward-weight|Api-Key|/briarward/|/usage|/scale)");

  private static final ImmutableList<String> MODULES =
      ImmutableList.of("core", "wire", "operator", "node", "standins", "experiments", "cli");

  private static Stream<Path> sourceFiles(String module) {
    try (Stream<Path> files = Files.walk(Path.of("..", module, "src"))) {
      return files.filter(file -> file.toString().endsWith(".java")).toList().stream();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static boolean containsPlatformName(Path file) {
    try {
      return !file.endsWith("AdapterNamesTest.java")
          && PLATFORM_NAME.matcher(Files.readString(file)).find();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void platformNamesOccurOnlyInThePlatformModule() {
    assertThat(
            MODULES.stream()
                .flatMap(AdapterNamesTest::sourceFiles)
                .filter(AdapterNamesTest::containsPlatformName)
                .toList())
        .isEmpty();
  }
}
