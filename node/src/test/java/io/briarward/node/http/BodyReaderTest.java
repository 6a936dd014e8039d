package io.briarward.node.http;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.core.memory.BodyBudget;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class BodyReaderTest {
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final long MAX_BYTES = 1_000_000;
  private static final int READ_TIMEOUT_MILLIS = 60_000;
  private static final int MAX_POLLS = 6_000;
  private static final int LONG_BYTES = 100_000;
  private static final int BODY_BYTES = 90_000;

  private final Vertx vertx = Vertx.vertx();
  private final TestScheduler scheduler = new TestScheduler();
  private final BodyBudget budget = BodyBudget.of(1_000, 4_000, LONG_BYTES);
  private final BodyReader reader = new BodyReader(scheduler, TIMEOUT_MILLIS, budget);
  private final AtomicReference<Context> context = new AtomicReference<>();
  private HttpServer server;

  @BeforeEach
  void start() throws Exception {
    server =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  context.set(vertx.getOrCreateContext());
                  var unused =
                      reader
                          .readBlocks(request, MAX_BYTES, 1)
                          .subscribe(
                              body -> request.response().end("read " + body.size()),
                              error -> HttpAnswers.problem(request, error));
                });
    server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get();
  }

  @AfterEach
  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get();
  }

  private Socket send(String head, String body) throws IOException {
    Socket socket = new Socket("127.0.0.1", server.actualPort());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    String request = "POST / HTTP/1.1\r\nHost: a\r\n" + head + "\r\n\r\n" + body;
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static void assertReceives(Socket socket, String start) throws IOException {
    byte[] received = socket.getInputStream().readNBytes(start.length());
    assertThat(new String(received, StandardCharsets.US_ASCII)).isEqualTo(start);
  }

  private static void await(BooleanSupplier condition) throws Exception {
    for (int i = 0; i < MAX_POLLS; i++) {
      if (condition.getAsBoolean()) {
        return;
      }
      Thread.sleep(10);
    }
    throw new AssertionError("condition is still false after " + MAX_POLLS + " polls");
  }

  @Test
  void memoryOfBodyIsGivenBackWhenTheResponseEnds() throws Exception {
    String head = "Connection: close\r\nContent-Length: " + BODY_BYTES;
    try (Socket socket = send(head, "y".repeat(BODY_BYTES))) {
      assertReceives(socket, "HTTP/1.1 200");
      await(() -> budget.heldBytes() == 0);
    }
  }

  @Test
  void bodyOfUnknownLengthIsRejectedOnceItOutgrowsTheBudget() throws Exception {
    String chunk = Integer.toHexString(BODY_BYTES) + "\r\n" + "y".repeat(BODY_BYTES) + "\r\n";
    try (Socket socket = send("Transfer-Encoding: chunked", chunk)) {
      socket.getOutputStream().write("2710\r\n".getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write("y".repeat(10_001).getBytes(StandardCharsets.US_ASCII));
      assertReceives(socket, "HTTP/1.1 503");
      await(() -> budget.heldBytes() == 0);
    }
  }

  @Test
  void bodyThatComesTooSlowlyGivesItsMemoryBack() throws Exception {
    try (Socket socket = send("Content-Length: " + BODY_BYTES, "y")) {
      await(() -> budget.heldBytes() == BODY_BYTES);
      context
          .get()
          .runOnContext(unused -> scheduler.advanceTimeBy(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      assertReceives(socket, "HTTP/1.1 504");
      await(() -> budget.heldBytes() == 0);
    }
  }

  @Test
  void callerThatGoesAwayGivesTheMemoryOfItsBodyBack() throws Exception {
    try (Socket socket = send("Content-Length: " + BODY_BYTES, "y")) {
      await(() -> budget.heldBytes() == BODY_BYTES);
      socket.setSoLinger(true, 0);
    }
    await(() -> budget.heldBytes() == 0);
  }
}
