package io.briarward.node.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;

/**
 * The identity and limits of a node's peer network.
 *
 * @param vmId the id of the local VM, sent with each message
 * @param incarnation the incarnation of the local process, sent with each message
 * @param listenAddress the address that peers connect to; port 0 selects a free port
 * @param maxFrameBytes the maximum size of a message
 * @param maxQueuedBytes the maximum number of bytes queued for sending to one peer
 */
public record PeerSettings(
    String vmId,
    String incarnation,
    InetSocketAddress listenAddress,
    int maxFrameBytes,
    int maxQueuedBytes) {
  private static final int DEFAULT_MAX_FRAME_BYTES = 4 << 20;
  private static final int DEFAULT_MAX_QUEUED_BYTES = 8 << 20;

  /** Validates the components. */
  public PeerSettings {
    checkNotNull(vmId, "vmId");
    checkNotNull(incarnation, "incarnation");
    checkNotNull(listenAddress, "listenAddress");
    checkArgument(maxFrameBytes > 0, "maxFrameBytes is %s, expected > 0", maxFrameBytes);
    checkArgument(
        maxQueuedBytes >= maxFrameBytes,
        "maxQueuedBytes is %s, expected >= %s",
        maxQueuedBytes,
        maxFrameBytes);
  }

  /** Returns settings with the default limits. */
  public static PeerSettings of(String vmId, String incarnation, InetSocketAddress listenAddress) {
    return new PeerSettings(
        vmId, incarnation, listenAddress, DEFAULT_MAX_FRAME_BYTES, DEFAULT_MAX_QUEUED_BYTES);
  }
}
