package io.briarward.node.peer;

import io.briarward.wire.proto.PeerMessage;
import io.reactivex.rxjava3.core.Maybe;

/** Handles the messages of one type that peers send. */
@FunctionalInterface
public interface PeerHandler {
  /**
   * Handles a message. Called on a network thread, so it must not block.
   *
   * @return the response, or empty if there is none; its body is sent to the sender if the message
   *     was a request and dropped otherwise
   */
  Maybe<PeerMessage> onMessage(PeerMessage message);
}
