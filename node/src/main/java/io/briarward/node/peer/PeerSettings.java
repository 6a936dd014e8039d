package io.briarward.node.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.node.settings.ProcessLimits;
import java.net.InetSocketAddress;

/**
 * The identity and limits of a node's peer network.
 *
 * @param vmId the id of the local VM, sent with each message
 * @param incarnation the incarnation of the local process, sent with each message
 * @param listenAddress the address that peers connect to; port 0 selects a free port
 * @param maxFrameBytes the maximum size of a message
 * @param maxQueuedBytes the maximum number of bytes queued for sending to one peer
 * @param maxAccepted the maximum number of connections that are accepted
 * @param maxIncompleteBytes the memory of all messages that have not arrived completely
 */
public record PeerSettings(
    String vmId,
    String incarnation,
    InetSocketAddress listenAddress,
    int maxFrameBytes,
    int maxQueuedBytes,
    int maxAccepted,
    long maxIncompleteBytes) {
  private static final int DEFAULT_MAX_FRAME_BYTES = 4 << 20;
  private static final int DEFAULT_MAX_QUEUED_BYTES = 8 << 20;

  /** Two for each of as many nodes as are planned for; a node has one connection to a peer. */
  private static final int DEFAULT_MAX_ACCEPTED = 2_000;

  /** Of the descriptors; the rest is for clients, upstreams and the platform. */
  private static final double ACCEPTED_SHARE = 0.15;

  /** The buffer of one message of the maximum size while it grows. */
  private static final long DEFAULT_MAX_INCOMPLETE_BYTES = 2L * DEFAULT_MAX_FRAME_BYTES + 8;

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
    checkArgument(maxAccepted > 0, "maxAccepted is %s, expected > 0", maxAccepted);
    checkArgument(
        maxIncompleteBytes >= 2L * maxFrameBytes,
        "maxIncompleteBytes is %s, expected >= %s",
        maxIncompleteBytes,
        2L * maxFrameBytes);
  }

  /** Returns settings with the default limits. */
  public static PeerSettings of(String vmId, String incarnation, InetSocketAddress listenAddress) {
    return new PeerSettings(
        vmId,
        incarnation,
        listenAddress,
        DEFAULT_MAX_FRAME_BYTES,
        DEFAULT_MAX_QUEUED_BYTES,
        (int) Math.min(DEFAULT_MAX_ACCEPTED, ACCEPTED_SHARE * ProcessLimits.maxDescriptors()),
        DEFAULT_MAX_INCOMPLETE_BYTES);
  }
}
