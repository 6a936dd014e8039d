package io.briarward.node.peer;

import com.google.common.collect.ImmutableMap;
import io.briarward.wire.proto.PeerMessage;
import io.reactivex.rxjava3.core.Single;
import java.net.InetSocketAddress;

/**
 * Exchanges messages with other VMs.
 *
 * <p>Messages may be lost; each message is delivered at most once. Thread-safe. Example:
 *
 * <pre>{@code
 * network.setHandler(PeerMessage.BodyCase.MEMBERSHIP, message -> Maybe.just(responseTo(message)));
 * Single<PeerMessage> response = network.request("vm-2", probe, 500);
 * }</pre>
 */
public interface PeerNetwork extends AutoCloseable {
  /** Sends a message without waiting; the message is dropped if the peer is unreachable. */
  void send(String vmId, PeerMessage message);

  /**
   * Sends a message and returns the response.
   *
   * @return signals a {@link io.briarward.core.errors.FailureException} if no response arrived
   *     within {@code timeoutMillis} or the message could not be sent
   */
  Single<PeerMessage> request(String vmId, PeerMessage message, long timeoutMillis);

  /** Registers the handler of messages with the given body, replacing an earlier handler. */
  void setHandler(PeerMessage.BodyCase body, PeerHandler handler);

  /** Sets the addresses of all peers; connections to VMs that are not listed are closed. */
  void setAddresses(ImmutableMap<String, InetSocketAddress> byVmId);

  /** Closes all connections and releases the port. */
  @Override
  void close();
}
