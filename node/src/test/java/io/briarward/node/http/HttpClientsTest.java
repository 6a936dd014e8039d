package io.briarward.node.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import io.briarward.standins.input.BrokenResponses;
import io.briarward.standins.input.RawServer;
import io.briarward.standins.input.RawServer.Ending;
import io.briarward.standins.input.RawServer.Script;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpClientsTest {
  private static final String SUCCESS =
      "HTTP/1.1 200 OK\r\nServer-Id: i-1\r\nContent-Length: 5\r\n\r\nhello";
  private static final String FAILURE = "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed";
  private static final long PART_DELAY_MILLIS = 20;
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final ImmutableList<String> PARTS =
      ImmutableList.of(
          "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\n\r\n",
          "HTTP/1.1 200 OK\r\n\r\nhello",
          "HTTP/1.0 200 OK\r\n\r\nhello",
          "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello",
          CHUNKED + "5\r\nhello\r\n",
          CHUNKED + "5\r\nhello\r\n0\r\n");
  private static final ImmutableList<Long> DELAYS_MILLIS = ImmutableList.of(0L, 3L, 30L);
  private static final ImmutableList<Integer> UPLOADS_BYTES =
      ImmutableList.of(200 << 10, 1 << 20, 7 << 20);
  private static final long TIMEOUT_MILLIS = 20_000;

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
    return send(HttpMethod.GET);
  }

  private Future<String> send(HttpMethod method) {
    return open(method).compose(request -> request.send().compose(HttpClientsTest::read));
  }

  private Future<String> upload(int bodyBytes) {
    Buffer body = Buffer.buffer(new byte[bodyBytes]);
    return open(HttpMethod.PUT)
        .compose(request -> request.send(body).compose(HttpClientsTest::read));
  }

  private Future<HttpClientRequest> open(HttpMethod method) {
    return PooledRequests.open(
        client, new RequestOptions().setMethod(method).setHost("127.0.0.1").setPort(port));
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

  private static Future<String> outcome(Future<String> response) {
    return response
        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .otherwise(cause -> cause instanceof TimeoutException ? "silent" : "failed");
  }

  /** Sends each response on a new and on a kept connection, and expects that both fail. */
  private void assertBroken(List<String> responses) throws Exception {
    List<String> accepted = new ArrayList<>();
    long openConnections;
    try (RawServer server =
        RawServer.start(
            before -> Script.respond(before % 3 == 1 ? SUCCESS : responses.get(before / 3)))) {
      port = server.port();
      for (String response : responses) {
        String outcomes =
            get(outcome(send())) + ", " + get(outcome(send())) + ", " + get(outcome(send()));
        if (!outcomes.equals("failed, 200 hello, failed")) {
          accepted.add(outcomes + " for " + response);
        }
      }
      openConnections = openAfterWait(server);
    }
    assertWithMessage(String.join("\n---\n", accepted)).that(accepted).isEmpty();
    assertWithMessage("open connections").that(openConnections).isEqualTo(0);
  }

  /** Returns the number of connections that are still open after a time-out. */
  private static long openAfterWait(RawServer server) throws InterruptedException {
    for (long i = 0; server.openConnections() > 0 && i < TIMEOUT_MILLIS; i++) {
      Thread.sleep(1);
    }
    return server.openConnections();
  }

  @Test
  void responseWithBrokenStatusLineIsNoResponse() throws Exception {
    assertBroken(BrokenResponses.withBrokenStatusLine(""));
  }

  @Test
  void responseWithBrokenFieldIsNoResponse() throws Exception {
    assertBroken(BrokenResponses.withBrokenField(""));
  }

  @Test
  void responseWithBrokenTrailerIsNoResponse() throws Exception {
    assertBroken(BrokenResponses.withBrokenTrailer(""));
  }

  @Test
  void responseWithBrokenLengthIsNoResponse() throws Exception {
    assertBroken(BrokenResponses.withBrokenLength(""));
  }

  @Test
  void responseWithBrokenChunkIsNoResponse() throws Exception {
    assertBroken(BrokenResponses.withBrokenChunk(""));
  }

  /** What the grammar allows, though few servers send it. */
  @Test
  void unusualResponsesAreResponses() throws Exception {
    ImmutableList<String> responses =
        ImmutableList.of(
            "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 200 \r\ncontent-length:\t05 \r\n\r\nhello",
            "HTTP/1.1 200 é\t!\r\nX:\r\nXA: ÿ\t1 : \r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ:1\r\nContent-Length: 5\r\n\r\nhello",
            CHUNKED + "5;a=\"b c\"\r\nhello\r\n0;x\r\nXA: 1\r\nXB:\r\n\r\n",
            CHUNKED + "0000000000000000002 \r\nhe\r\n3\t;x\r\nllo\r\n00\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n" + SUCCESS,
            "HTTP/1.1 102 Processing\r\n\r\n" + SUCCESS,
            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + SUCCESS,
            "HTTP/1.1 199 Unknown\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + SUCCESS);
    try (RawServer server = RawServer.start(before -> Script.respond(responses.get(before)))) {
      port = server.port();
      for (String response : responses) {
        assertWithMessage(response).that(get(outcome(send()))).isEqualTo("200 hello");
      }
      assertThat(server.connections()).isEqualTo(1);
    }
  }

  /** A length announces no body there; the next response follows the head. */
  @Test
  void responsesWithoutBodyLeaveTheConnectionForTheNextRequest() throws Exception {
    ImmutableList<String> heads =
        ImmutableList.of(
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
            CHUNKED,
            SUCCESS);
    try (RawServer server = RawServer.start(before -> Script.respond(heads.get(before)))) {
      port = server.port();
      for (int i = 0; i < heads.size(); i++) {
        HttpMethod method = i == 3 || i == 4 ? HttpMethod.HEAD : HttpMethod.GET;
        String expected = heads.get(i).substring(9, 12) + (i < 5 ? " " : " hello");
        assertThat(get(outcome(send(method)))).isEqualTo(expected);
      }
      assertThat(server.connections()).isEqualTo(1);
    }
  }

  /** Resets the connection after each part of a response, and expects that the call fails. */
  private void assertResetsFail(boolean readsBody, Supplier<Future<String>> call, String calls)
      throws Exception {
    for (String part : PARTS) {
      for (long delayMillis : DELAYS_MILLIS) {
        try (RawServer server =
            RawServer.start(unused -> new Script(part, readsBody, delayMillis, Ending.RESET))) {
          port = server.port();
          assertWithMessage("%s after %s ms, %s", part, delayMillis, calls)
              .that(get(outcome(call.get())))
              .isEqualTo("failed");
        }
      }
    }
  }

  @Test
  void responseWhoseConnectionIsResetIsNoResponse() throws Exception {
    assertResetsFail(true, this::send, "without a body");
  }

  /** The reset may be seen first by a write of the upload, which then fails. */
  @Test
  void responseWhoseConnectionIsResetDuringTheUploadIsNoResponse() throws Exception {
    for (int bodyBytes : UPLOADS_BYTES) {
      assertResetsFail(false, () -> upload(bodyBytes), bodyBytes + " bytes");
    }
  }

  @Test
  void responseWithoutLengthWhoseConnectionEndsIsWhole() throws Exception {
    String response = "HTTP/1.1 200 OK\r\n\r\nhello";
    for (long delayMillis : DELAYS_MILLIS) {
      try (RawServer server =
          RawServer.start(unused -> new Script(response, false, delayMillis, Ending.CLOSE))) {
        port = server.port();
        assertThat(get(outcome(send()))).isEqualTo("200 hello");
        for (int bodyBytes : UPLOADS_BYTES) {
          assertWithMessage("upload of %s bytes", bodyBytes)
              .that(get(outcome(upload(bodyBytes))))
              .isEqualTo("200 hello");
        }
      }
    }
  }

  /** Guards against a request that is written to a connection which ends with the body before. */
  @Test
  void requestThatWaitsForConnectionThatEndsWithBodyIsSentOnAnother() throws Exception {
    String response = "HTTP/1.1 200 OK\r\n\r\nhello";
    try (RawServer server = RawServer.start(unused -> Script.respond(response, 1, Ending.CLOSE))) {
      port = server.port();
      List<Future<String>> responses = new ArrayList<>();
      for (int i = 0; i < 50; i++) {
        responses.add(outcome(send()));
      }
      for (Future<String> each : responses) {
        assertThat(get(each)).isEqualTo("200 hello");
      }
      assertThat(server.connections()).isEqualTo(50);
    }
  }
}
