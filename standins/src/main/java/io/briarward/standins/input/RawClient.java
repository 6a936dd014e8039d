package io.briarward.standins.input;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.function.Consumer;

/** Sends bytes to ports on loopback, valid or not, and collects what arrives in return. */
public final class RawClient implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";
  private static final String BYTE_PER_CHAR = "ISO-8859-1";

  private final Vertx vertx;
  private final NetClient client;

  private RawClient(Vertx vertx) {
    this.vertx = vertx;
    this.client = vertx.createNetClient();
  }

  /** Creates a client without connections. */
  public static RawClient create(Vertx vertx) {
    return new RawClient(vertx);
  }

  /**
   * Sends a request on a new connection and returns all bytes received until the other side closes
   * it, one character a byte.
   */
  public Future<String> send(int port, String request) {
    return exchange(port, Buffer.buffer(request), socket -> {});
  }

  /**
   * Sends each input on a connection of its own, all at once, and returns what arrives on each
   * until the other side closes it or {@code connectionMillis} are over.
   */
  public Future<List<String>> sendAll(int port, List<byte[]> inputs, long connectionMillis) {
    List<Future<String>> received =
        inputs.stream()
            .map(
                input ->
                    exchange(
                        port,
                        Buffer.buffer(input),
                        socket -> vertx.setTimer(connectionMillis, unused -> socket.close())))
            .toList();
    return Future.join(received).map(unused -> received.stream().map(Future::result).toList());
  }

  private Future<String> exchange(int port, Buffer bytes, Consumer<NetSocket> onConnected) {
    Promise<String> ended = Promise.promise();
    Buffer received = Buffer.buffer();
    client
        .connect(port, LOOPBACK)
        .onFailure(ended::tryFail)
        .onSuccess(
            socket -> {
              socket.exceptionHandler(unused -> {});
              socket.handler(received::appendBuffer);
              socket.closeHandler(unused -> ended.tryComplete(received.toString(BYTE_PER_CHAR)));
              socket.write(bytes);
              onConnected.accept(socket);
            });
    return ended.future();
  }

  @Override
  public void close() {
    client.close();
  }
}
