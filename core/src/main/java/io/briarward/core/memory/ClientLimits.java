package io.briarward.core.memory;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.primitives.Ints;

/**
 * The limits on the clients of one port.
 *
 * @param maxConnections the maximum number of connections
 * @param maxHeadBytes the maximum size of the headers of one request, in bytes
 * @param headTimeoutMillis the longest time from the first byte of a head to its last one
 * @param maxHeldBytes the memory of the heads of all requests, see {@link #headCost}
 */
public record ClientLimits(
    int maxConnections, int maxHeadBytes, long headTimeoutMillis, long maxHeldBytes) {
  /** The maximum size of the first line of a request, in bytes. */
  public static final int MAX_FIRST_LINE_BYTES = 8 << 10;

  /** The time in which clients have to send a head is 3 s; the rest is for a busy machine. */
  public static final long DEFAULT_HEAD_TIMEOUT_MILLIS = 4_000;

  /** The decoded objects of a header line and their copies in the request to an upstream. */
  private static final long BYTES_PER_LINE = 384;

  /** As received, as decoded, as copied for an upstream, and the slack of growing buffers. */
  private static final long COPIES = 4;

  private static final long BYTES_PER_REQUEST = 2 << 10;

  /** The shortest line, a name of one character and a colon, with the end of the line. */
  private static final int MIN_LINE_BYTES = 3;

  /** The memory of an idle connection with its handlers and its decoder. */
  private static final long BYTES_PER_CONNECTION = 16 << 10;

  private static final int MIN_CONNECTIONS = 16;

  /** Of the heap, for the heads of the requests of all clients. */
  private static final double HEADS_SHARE = 0.1;

  private static final double CONNECTIONS_HEAP_SHARE = 0.125;

  /** Of the descriptors; the rest is for upstreams, other nodes, the store and files. */
  private static final double DESCRIPTORS_SHARE = 0.4;

  /** Validates the components. */
  public ClientLimits {
    checkArgument(maxConnections > 0, "maxConnections is %s, expected > 0", maxConnections);
    checkArgument(maxHeadBytes > 0, "maxHeadBytes is %s, expected > 0", maxHeadBytes);
    checkArgument(
        headTimeoutMillis > 0, "headTimeoutMillis is %s, expected > 0", headTimeoutMillis);
    checkArgument(
        maxHeldBytes >= largestCost(maxHeadBytes),
        "the memory for heads is %s bytes, expected >= %s for one head of %s bytes;"
            + " raise the maximum heap size or lower the limit on headers",
        maxHeldBytes,
        largestCost(maxHeadBytes),
        maxHeadBytes);
  }

  /**
   * Returns limits that a process of the given size can hold.
   *
   * @param share the part of what the process has for clients that is for this port, above 0 and at
   *     most 1
   * @param maxHeapBytes the maximum size of the heap
   * @param maxDescriptors the number of descriptors that the process may open
   * @throws IllegalArgumentException if the heap is too small for one head of the maximum size
   */
  public static ClientLimits of(
      double share, long maxHeapBytes, long maxDescriptors, int maxHeadBytes) {
    checkArgument(share > 0 && share <= 1, "share is %s, expected > 0 and <= 1", share);
    checkArgument(maxDescriptors > 0, "maxDescriptors is %s, expected > 0", maxDescriptors);
    double byHeap = CONNECTIONS_HEAP_SHARE * maxHeapBytes / BYTES_PER_CONNECTION;
    double byDescriptors = DESCRIPTORS_SHARE * maxDescriptors;
    int connections = Ints.saturatedCast((long) (share * Math.min(byHeap, byDescriptors)));
    return new ClientLimits(
        Math.max(MIN_CONNECTIONS, connections),
        maxHeadBytes,
        DEFAULT_HEAD_TIMEOUT_MILLIS,
        heldBytes(share, maxHeapBytes, maxHeadBytes));
  }

  /** Returns a share of the memory for heads, but enough for one head unless all is not enough. */
  private static long heldBytes(double share, long maxHeapBytes, int maxHeadBytes) {
    double all = HEADS_SHARE * maxHeapBytes;
    return (long) Math.min(all, Math.max(share * all, largestCost(maxHeadBytes)));
  }

  /** Returns the memory of a head of which every line is as short as can be. */
  private static long largestCost(int maxHeadBytes) {
    return headCost(maxHeadBytes + MAX_FIRST_LINE_BYTES, maxHeadBytes / MIN_LINE_BYTES);
  }

  /** Returns the memory that a head of the given size and number of lines takes, in bytes. */
  public static long headCost(long bytes, long lines) {
    return BYTES_PER_REQUEST + COPIES * bytes + BYTES_PER_LINE * lines;
  }
}
