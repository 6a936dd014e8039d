package io.briarward.standins.input;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.function.LongConsumer;

/** Sends bytes without end, as fast as the other side takes them. */
public final class EndlessBytes {
  private static final int MIN_CHUNK_BYTES = 1 << 16;

  private EndlessBytes() {}

  /**
   * Sends {@code head} and then {@code filler} again and again, until the connection is closed.
   *
   * @param onSent receives the number of filler bytes of each chunk that the other side or the
   *     kernel has taken
   */
  public static void send(NetSocket socket, String head, String filler, LongConsumer onSent) {
    socket.write(head);
    repeat(socket, Buffer.buffer(filler.repeat(1 + MIN_CHUNK_BYTES / filler.length())), onSent);
  }

  private static void repeat(NetSocket socket, Buffer chunk, LongConsumer onSent) {
    socket
        .write(chunk)
        .onSuccess(
            unused -> {
              onSent.accept(chunk.length());
              repeat(socket, chunk, onSent);
            });
  }
}
