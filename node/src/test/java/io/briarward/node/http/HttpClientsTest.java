package io.briarward.node.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpClientsTest {
  private static final String SUCCESS =
      "HTTP/1.1 200 OK\r\nServer-Id: i-1\r\nContent-Length: 5\r\n\r\nhello";
  private static final String FAILURE = "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed";
  private static final long PART_DELAY_MILLIS = 20;

  private final Vertx vertx = Vertx.vertx();
  private final AtomicInteger connections = new AtomicInteger();
  private final HttpClient client =
      HttpClients.create(vertx, new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(1));
  private int port;

  @AfterEach
  void close() throws Exception {
    get(vertx.close());
  }

  private static <T> T get(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
  }

  /** Starts a server; {@code onRequest} gets the socket and the number of requests before. */
  private void start(BiConsumer<NetSocket, Integer> onRequest) throws Exception {
    AtomicInteger requests = new AtomicInteger();
    NetServer server =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  connections.incrementAndGet();
                  socket.handler(unused -> onRequest.accept(socket, requests.getAndIncrement()));
                });
    port = get(server.listen(0, "127.0.0.1")).actualPort();
  }

  private Future<String> send() {
    RequestOptions options =
        new RequestOptions().setMethod(HttpMethod.GET).setHost("127.0.0.1").setPort(port);
    return PooledRequests.open(client, options)
        .compose(request -> request.send().compose(HttpClientsTest::read));
  }

  private static Future<String> read(HttpClientResponse response) {
    return response.body().map(body -> response.statusCode() + " " + body);
  }

  /** Guards against a failure of a request that was given a connection which was being closed. */
  @Test
  void requestThatWaitsForConnectionWithStrayBytesIsSentOnAnother() throws Exception {
    start((socket, before) -> socket.write(before == 0 ? SUCCESS + "x" : SUCCESS));
    List<Future<String>> responses = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      responses.add(send());
    }
    for (Future<String> response : responses) {
      assertThat(get(response)).isEqualTo("200 hello");
    }
    assertThat(connections.get()).isEqualTo(2);
  }

  @Test
  void beginningOfSuccessIsNeverCompletedByFailure() throws Exception {
    int endOfHead = SUCCESS.indexOf("\r\n\r\n") + 3;
    start(
        (socket, before) -> {
          if (before % 2 == 0) {
            socket.write(SUCCESS);
          } else {
            socket.write(SUCCESS.substring(0, 1 + before / 2));
            vertx.setTimer(PART_DELAY_MILLIS, unused -> socket.write(FAILURE));
          }
        });
    for (int length = 1; length <= endOfHead; length++) {
      assertThat(get(send())).isEqualTo("200 hello");
      String response = get(send().otherwise(Throwable::toString));
      assertWithMessage("length %s", length).that(response).doesNotContain("200 ");
    }
  }

  /**
   * Guards against a response whose head stops midway and that is taken for a whole one. All
   * clients of a node, also those of other nodes and of the store, are created here.
   */
  @Test
  void headThatStopsMidwayIsNoResponseOnNewAndOnKeptConnections() throws Exception {
    String head = SUCCESS.substring(0, SUCCESS.indexOf("hello"));
    int cuts = head.length() - 1;
    start(
        (socket, before) -> {
          boolean kept = before % 2 == 0;
          if (before < 2 * cuts && kept) {
            socket.write(SUCCESS);
          } else {
            socket.end(Buffer.buffer(head.substring(0, 1 + before / 2 % cuts)));
          }
        });
    for (int i = 0; i < cuts; i++) {
      assertThat(get(send())).isEqualTo("200 hello");
      assertFails(send(), "kept connection, " + (1 + i) + " bytes");
    }
    for (int i = 0; i < cuts; i++) {
      assertFails(send(), "new connection");
    }
  }

  private static void assertFails(Future<String> response, String description) throws Exception {
    String text = get(response.otherwise("failed"));
    assertWithMessage(description).that(text).isEqualTo("failed");
  }
}
