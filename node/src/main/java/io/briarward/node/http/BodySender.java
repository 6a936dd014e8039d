package io.briarward.node.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.memory.ByteBlocks;
import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.internal.buffer.BufferInternal;

/**
 * Sends a body that is kept in memory, block by block as fast as the receiver takes it.
 *
 * <p>A body may be sent several times, also at the same time. Confined to the event loop.
 */
public final class BodySender {
  private final HttpClientRequest request;
  private final ByteBlocks body;
  private int nextBlock;
  private boolean ended;

  private BodySender(HttpClientRequest request, ByteBlocks body) {
    this.request = checkNotNull(request, "request");
    this.body = checkNotNull(body, "body");
  }

  /** Sends the head of {@code request} and {@code body}, and ends the request. */
  public static BodySender send(HttpClientRequest request, ByteBlocks body) {
    BodySender sender = new BodySender(request, body);
    if (body.blockCount() > 1) {
      request.putHeader("Content-Length", Long.toString(body.size()));
      request.drainHandler(unused -> sender.sendBlocks());
    }
    sender.sendBlocks();
    return sender;
  }

  /** Returns a copy of {@code body}. */
  public static Buffer toBuffer(ByteBlocks body) {
    Buffer buffer = Buffer.buffer(Math.toIntExact(body.size()));
    for (int i = 0; i < body.blockCount(); i++) {
      buffer.appendBytes(body.block(i), 0, body.bytesIn(i));
    }
    return buffer;
  }

  /** Closes the connection of the request unless the whole body was passed to it. */
  public void cancelUnlessSent() {
    if (!ended) {
      ended = true;
      request.reset();
    }
  }

  private void sendBlocks() {
    while (!ended) {
      int last = body.blockCount() - 1;
      if (nextBlock >= last) {
        ended = true;
        var unused = request.end(last < 0 ? Buffer.buffer() : block(last));
      } else {
        var unused = request.write(block(nextBlock));
        nextBlock++;
        if (request.writeQueueFull()) {
          return;
        }
      }
    }
  }

  private Buffer block(int index) {
    return BufferInternal.buffer(Unpooled.wrappedBuffer(body.block(index), 0, body.bytesIn(index)));
  }
}
