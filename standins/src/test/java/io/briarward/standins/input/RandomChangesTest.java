package io.briarward.standins.input;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RandomChangesTest {
  private static final String TEXT = "GET /l/7 HTTP/1.1\r\nHost: mill.example\r\n\r\n";

  @Test
  void equalSeedsGiveEqualBytes() {
    assertThat(RandomChanges.damage(TEXT, new Random(7)))
        .isEqualTo(RandomChanges.damage(TEXT, new Random(7)));
  }

  @Test
  void damageShortensAndLengthensTheText() {
    Random random = new Random(1);
    Set<Integer> signs = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      signs.add(Integer.signum(RandomChanges.damage(TEXT, random).length - TEXT.length()));
    }
    assertThat(signs).containsAtLeast(-1, 1);
  }
}
