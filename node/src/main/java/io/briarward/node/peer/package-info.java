/**
 * Messaging between nodes over TCP.
 *
 * <p>Start with {@link io.briarward.node.peer.PeerNetwork}; {@link
 * io.briarward.node.peer.NettyPeerNetwork} implements it.
 */
package io.briarward.node.peer;
