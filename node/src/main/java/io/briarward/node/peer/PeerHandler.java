package io.briarward.node.peer;

import io.briarward.wire.proto.PeerMessage;
import io.reactivex.rxjava3.core.Maybe;

/** Receives messages of one kind from peers. */
@FunctionalInterface
public interface PeerHandler {
  /**
   * Handles a message on a network thread, which must not block.
   *
   * @return the answer; empty when there is none. Its body is sent back to the sender if the
   *     message was a request and is dropped otherwise.
   */
  Maybe<PeerMessage> onMessage(PeerMessage message);
}
