package io.briarward.node.http;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.standins.input.RawClient;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.impl.HttpServerConnection;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallerResponseTest {
  private static final long PART_DELAY_MILLIS = 50;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get();
  }

  /** Fails each write that contains a text, as if no memory were left for it. */
  private static final class FailingWrites extends ChannelOutboundHandlerAdapter {
    private final String text;

    FailingWrites(String text) {
      this.text = text;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (message instanceof ByteBuf bytes
          && bytes.toString(StandardCharsets.US_ASCII).contains(text)) {
        ReferenceCountUtil.release(message);
        promise.setFailure(new OutOfMemoryError("no direct memory"));
      } else {
        context.write(message, promise);
      }
    }
  }

  private int startUpstream(String... parts) throws Exception {
    HttpServer server =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  request.response().putHeader("Content-Length", "12");
                  for (int i = 0; i < parts.length; i++) {
                    String part = parts[i];
                    vertx.setTimer(
                        1 + i * PART_DELAY_MILLIS, unused -> request.response().write(part));
                  }
                });
    return listen(server);
  }

  private int startRelay(int upstreamPort, String failingText) throws Exception {
    HttpClient client = vertx.createHttpClient();
    return listen(
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  ((HttpServerConnection) request.connection())
                      .channelHandlerContext()
                      .pipeline()
                      .addFirst(new FailingWrites(failingText));
                  client
                      .request(HttpMethod.GET, upstreamPort, "127.0.0.1", "/")
                      .compose(upstream -> upstream.send())
                      .onSuccess(response -> relay(request, response));
                }));
  }

  private static void relay(HttpServerRequest request, HttpClientResponse upstream) {
    CallerResponse.Relayed relayed = CallerResponse.to(request).relay(upstream);
    upstream.handler(relayed::write);
    upstream.endHandler(unused -> relayed.end(Buffer.buffer()));
  }

  private static int listen(HttpServer server) throws Exception {
    return server
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .get()
        .actualPort();
  }

  /** Returns what a caller receives until its connection is closed. */
  private String call(int port) throws Exception {
    try (RawClient caller = RawClient.create(vertx)) {
      return caller
          .send(port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
          .toCompletionStage()
          .toCompletableFuture()
          .get(30, TimeUnit.SECONDS);
    }
  }

  /** Guards against the next response on a connection being read as the rest of this one. */
  @Test
  void connectionIsClosedIfPartOfTheResponseCannotBeWritten() throws Exception {
    int port = startRelay(startUpstream("aaaa", "bbbb", "cccc"), "bbbb");
    String received = call(port);
    assertThat(received).contains("aaaa");
    assertThat(received).doesNotContain("bbbb");
    assertThat(received).doesNotContain("cccc");
  }
}
