package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.forwarding.HoldBack;
import io.briarward.node.http.CallerResponse;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The answer of one attempt, whose beginning is held back for as long as {@link HoldBack} allows.
 *
 * <p>Confined to the event loop.
 */
final class HeldAnswer implements AutoCloseable {
  private final CallerResponse.Relayed relayed;
  private final HoldBack holdBack;
  private final Queue<Buffer> chunks = new ArrayDeque<>();
  private long receivedBytes;

  HeldAnswer(CallerResponse.Relayed relayed, HoldBack holdBack) {
    this.relayed = checkNotNull(relayed, "relayed");
    this.holdBack = checkNotNull(holdBack, "holdBack");
  }

  /**
   * Holds back a chunk, or passes on all chunks if the answer can no longer be held back.
   *
   * @return whether the whole answer so far is held back
   */
  boolean add(Buffer chunk) {
    receivedBytes += chunk.length();
    chunks.add(chunk);
    if (holdBack.hold(receivedBytes)) {
      return true;
    }
    for (Buffer next = chunks.poll(); next != null; next = chunks.poll()) {
      relayed.write(next);
    }
    return false;
  }

  /** Passes on what is held back and ends the response; fails if the response was broken off. */
  Future<Void> end() {
    while (chunks.size() > 1) {
      relayed.write(chunks.remove());
    }
    Buffer last = chunks.poll();
    return relayed.end(last == null ? Buffer.buffer() : last);
  }

  /** Gives back the memory of an answer that has ended or is not passed on. */
  @Override
  public void close() {
    holdBack.close();
  }
}
