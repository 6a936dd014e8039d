package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * Bounds the memory of the unfinished texts of all items of a process.
 *
 * <p>A sampler may send events without end. When a text grows beyond what is left, the longest
 * unfinished text is dropped, and its item begins anew; so the texts of sound samplers are kept
 * whatever the number of faulty ones. Not thread-safe.
 */
public final class TextMemory {
  private final long maxBytes;
  private final LongConsumer onDropped;
  private final Set<Text> droppable = new HashSet<>();
  private long heldBytes;

  private TextMemory(long maxBytes, LongConsumer onDropped) {
    this.maxBytes = maxBytes;
    this.onDropped = checkNotNull(onDropped, "onDropped");
  }

  /**
   * Returns a memory that holds nothing.
   *
   * @param onDropped is told the size of each text that is dropped, in bytes
   */
  public static TextMemory of(long maxBytes, LongConsumer onDropped) {
    checkArgument(maxBytes > 0, "maxBytes is %s, expected > 0", maxBytes);
    return new TextMemory(maxBytes, onDropped);
  }

  /** Returns the size of all texts together, in bytes. */
  public long heldBytes() {
    return heldBytes;
  }

  /**
   * Returns the memory of a text that is empty.
   *
   * @param drop removes the text from memory
   */
  Text open(Runnable drop) {
    return new Text(drop);
  }

  /** The memory of one text. */
  final class Text implements AutoCloseable {
    private final Runnable drop;
    private long bytes;

    private Text(Runnable drop) {
      this.drop = checkNotNull(drop, "drop");
    }

    /**
     * Makes room for a part of this text, if need be by dropping the longest one.
     *
     * @return whether there is room; if not, this text was dropped
     */
    boolean grow(long addedBytes) {
      bytes += addedBytes;
      heldBytes += addedBytes;
      droppable.add(this);
      while (heldBytes > maxBytes && !droppable.isEmpty()) {
        Text longest = droppable.stream().max(Comparator.comparingLong(Text::bytes)).get();
        onDropped.accept(longest.bytes);
        longest.close();
        longest.drop.run();
        if (longest == this) {
          return false;
        }
      }
      return true;
    }

    /** Keeps the text, which is complete, until it is closed. */
    void keep() {
      droppable.remove(this);
    }

    private long bytes() {
      return bytes;
    }

    /** Gives the memory back; the text is empty again. */
    @Override
    public void close() {
      droppable.remove(this);
      heldBytes -= bytes;
      bytes = 0;
    }
  }
}
