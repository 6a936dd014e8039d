package io.briarward.core.memory;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * A growing sequence of bytes in blocks, which are never copied as it grows.
 *
 * <p>The blocks take about as much memory as the bytes: exactly as much if the size is known in
 * advance, and otherwise at most twice as much and at most one block more. Not thread-safe.
 */
public final class ByteBlocks {
  /** The size of the largest block, in bytes. */
  public static final int MAX_BLOCK_BYTES = 64 << 10;

  private static final int MIN_BLOCK_BYTES = 512;

  private final OptionalLong expectedBytes;
  private final List<byte[]> blocks = new ArrayList<>();
  private int lastBlockBytes;
  private long size;
  private long capacity;

  private ByteBlocks(OptionalLong expectedBytes) {
    this.expectedBytes = expectedBytes;
  }

  /** Copies a part of a source of bytes to {@code target}, from {@code targetStart} on. */
  @FunctionalInterface
  public interface Source {
    /** Copies the bytes from {@code start}, inclusive, to {@code end}, exclusive. */
    void copy(int start, int end, byte[] target, int targetStart);
  }

  /**
   * Returns an empty sequence.
   *
   * @param expectedBytes the size that it will have; empty if it is not known
   */
  public static ByteBlocks create(OptionalLong expectedBytes) {
    checkArgument(
        expectedBytes.orElse(0) >= 0, "expectedBytes is %s, expected >= 0", expectedBytes);
    return new ByteBlocks(expectedBytes);
  }

  /** Returns a copy of {@code bytes}. */
  public static ByteBlocks copyOf(byte[] bytes) {
    ByteBlocks blocks = create(OptionalLong.of(bytes.length));
    blocks.append(
        bytes.length,
        (start, end, target, targetStart) ->
            System.arraycopy(bytes, start, target, targetStart, end - start));
    return blocks;
  }

  /** Returns the number of bytes. */
  public long size() {
    return size;
  }

  /** Returns the memory that the blocks take, in bytes. */
  public long capacity() {
    return capacity;
  }

  /** Returns the memory that the blocks take once {@code length} bytes are appended, in bytes. */
  public long capacityWith(int length) {
    long laterCapacity = capacity;
    while (laterCapacity < size + length) {
      laterCapacity += nextBlockBytes(laterCapacity);
    }
    return laterCapacity;
  }

  /** Appends the first {@code length} bytes of a source. */
  public void append(int length, Source source) {
    int copied = 0;
    while (copied < length) {
      if (size == capacity) {
        byte[] block = new byte[nextBlockBytes(size)];
        blocks.add(block);
        lastBlockBytes = 0;
        capacity += block.length;
      }
      byte[] block = blocks.get(blocks.size() - 1);
      int part = Math.min(length - copied, block.length - lastBlockBytes);
      source.copy(copied, copied + part, block, lastBlockBytes);
      copied += part;
      lastBlockBytes += part;
      size += part;
    }
  }

  /** Returns the number of blocks that hold bytes. */
  public int blockCount() {
    return blocks.size();
  }

  /** Returns a block, which must not be changed; its first {@link #bytesIn} bytes are used. */
  public byte[] block(int index) {
    return blocks.get(index);
  }

  /** Returns the number of bytes that a block holds. */
  public int bytesIn(int index) {
    return index == blocks.size() - 1 ? lastBlockBytes : blocks.get(index).length;
  }

  private int nextBlockBytes(long filledBytes) {
    long leftBytes = expectedBytes.orElse(0) - filledBytes;
    long wanted = leftBytes > 0 ? leftBytes : Math.max(MIN_BLOCK_BYTES, filledBytes);
    return (int) Math.min(MAX_BLOCK_BYTES, wanted);
  }
}
