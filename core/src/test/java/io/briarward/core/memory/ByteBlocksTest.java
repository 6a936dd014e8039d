package io.briarward.core.memory;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ByteBlocksTest {
  private static final int MAX_PART_BYTES = 100_000;

  private static byte[] content(ByteBlocks blocks) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int i = 0; i < blocks.blockCount(); i++) {
      all.write(blocks.block(i), 0, blocks.bytesIn(i));
    }
    return all.toByteArray();
  }

  private static void append(ByteBlocks blocks, byte[] part) {
    blocks.append(
        part.length,
        (start, end, target, targetStart) ->
            System.arraycopy(part, start, target, targetStart, end - start));
  }

  @Property(seed = "3102", tries = 300)
  void holdsTheBytesInBlocksOfAboutTheirSize(
      @ForAll long seed, @ForAll @IntRange(max = 12) int parts, @ForAll boolean announced) {
    Random random = new Random(seed);
    ByteArrayOutputStream expected = new ByteArrayOutputStream();
    byte[][] all = new byte[parts][];
    for (int i = 0; i < parts; i++) {
      all[i] = new byte[random.nextInt(1 + random.nextInt(MAX_PART_BYTES))];
      random.nextBytes(all[i]);
      expected.writeBytes(all[i]);
    }
    ByteBlocks blocks =
        ByteBlocks.create(announced ? OptionalLong.of(expected.size()) : OptionalLong.empty());
    for (byte[] part : all) {
      long capacityWith = blocks.capacityWith(part.length);
      append(blocks, part);
      assertThat(blocks.capacity()).isEqualTo(capacityWith);
    }
    assertThat(content(blocks)).isEqualTo(expected.toByteArray());
    assertThat(blocks.size()).isEqualTo(expected.size());
    long maxCapacity =
        announced
            ? expected.size()
            : Math.max(512, Math.min(2 * blocks.size(), blocks.size() + (64 << 10)));
    assertThat(blocks.capacity()).isAtMost(maxCapacity);
  }

  @Test
  void longerBytesThanExpectedAreKept() {
    ByteBlocks blocks = ByteBlocks.create(OptionalLong.of(2));
    append(blocks, new byte[] {1, 2, 3});
    assertThat(content(blocks)).isEqualTo(new byte[] {1, 2, 3});
  }

  @Test
  void copyHoldsTheSameBytesInOneArray() {
    ByteBlocks blocks = ByteBlocks.copyOf(new byte[] {4, 5});
    assertThat(content(blocks)).isEqualTo(new byte[] {4, 5});
    assertThat(blocks.capacity()).isEqualTo(2);
    assertThat(ByteBlocks.copyOf(new byte[0]).blockCount()).isEqualTo(0);
  }
}
