package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TextMemoryTest {
  private final List<Long> dropped = new ArrayList<>();
  private final TextMemory memory = TextMemory.of(1_000, dropped::add);
  private final List<String> names = new ArrayList<>();

  private TextMemory.Text text(String name) {
    return memory.open(() -> names.add(name));
  }

  /** A few streams without end took the memory of all others. */
  @Test
  void longestTextIsDropped() {
    TextMemory.Text sound = text("sound");
    TextMemory.Text endless = text("endless");
    assertThat(sound.grow(300)).isTrue();
    assertThat(endless.grow(600)).isTrue();
    assertThat(sound.grow(200)).isTrue();
    assertThat(names).containsExactly("endless");
    assertThat(dropped).containsExactly(600L);
    assertThat(memory.heldBytes()).isEqualTo(500);
  }

  @Test
  void textThatIsItselfTheLongestIsDropped() {
    TextMemory.Text sound = text("sound");
    TextMemory.Text endless = text("endless");
    assertThat(sound.grow(300)).isTrue();
    assertThat(endless.grow(701)).isFalse();
    assertThat(names).containsExactly("endless");
    assertThat(memory.heldBytes()).isEqualTo(300);
    assertThat(endless.grow(100)).isTrue();
  }

  @Test
  void completeTextIsKept() {
    TextMemory.Text complete = text("complete");
    TextMemory.Text other = text("other");
    assertThat(complete.grow(900)).isTrue();
    complete.keep();
    assertThat(other.grow(200)).isFalse();
    assertThat(names).containsExactly("other");
    complete.close();
    assertThat(other.grow(200)).isTrue();
  }

  @Test
  void textsOfAnyNumberStayWithinTheLimit() {
    for (int i = 0; i < 100; i++) {
      TextMemory.Text each = text("t" + i);
      for (int part = 0; part < 10; part++) {
        each.grow(7);
        assertThat(memory.heldBytes()).isAtMost(1_000);
      }
    }
  }

  @Test
  void limitMustBePositive() {
    assertThrows(IllegalArgumentException.class, () -> TextMemory.of(0, bytes -> {}));
  }
}
