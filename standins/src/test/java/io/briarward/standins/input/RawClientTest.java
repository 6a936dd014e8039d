package io.briarward.standins.input;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RawClientTest {
  private final Vertx vertx = Vertx.vertx();
  private final RawClient client = RawClient.create(vertx);

  @AfterEach
  void closeAll() throws Exception {
    client.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @Test
  void everythingUntilTheCloseIsReturned() throws Exception {
    NetServer server =
        vertx.createNetServer().connectHandler(socket -> socket.handler(socket::end));
    await(server.listen(0, "127.0.0.1"));
    assertThat(await(client.send(server.actualPort(), "ping"))).isEqualTo("ping");
  }

  @Test
  void connectionsThatStayOpenEndAfterTheirTime() throws Exception {
    NetServer server =
        vertx.createNetServer().connectHandler(socket -> socket.handler(socket::write));
    await(server.listen(0, "127.0.0.1"));
    ImmutableList<byte[]> inputs =
        ImmutableList.of(
            "a".getBytes(StandardCharsets.ISO_8859_1), "b".getBytes(StandardCharsets.ISO_8859_1));
    assertThat(await(client.sendAll(server.actualPort(), inputs, 300)))
        .containsExactly("a", "b")
        .inOrder();
  }

  @Test
  void endlessBytesFlowUntilTheConnectionIsClosed() throws Exception {
    AtomicLong sent = new AtomicLong();
    NetServer server =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  socket.exceptionHandler(unused -> {});
                  socket.handler(
                      unused -> EndlessBytes.send(socket, "head", "xy", sent::addAndGet));
                });
    await(server.listen(0, "127.0.0.1"));
    ImmutableList<byte[]> request = ImmutableList.of(new byte[] {1});
    String received = await(client.sendAll(server.actualPort(), request, 300)).get(0);
    assertThat(received).startsWith("headxyxy");
    assertThat(received.length()).isGreaterThan(1 << 16);
    assertThat(sent.get()).isGreaterThan(1L << 16);
  }
}
