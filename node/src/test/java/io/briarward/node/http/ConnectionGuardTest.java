package io.briarward.node.http;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.core.memory.ClientBudget;
import io.briarward.core.memory.ClientLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ConnectionGuardTest {
  private static final int MAX_HEAD_BYTES = 1_000;
  private static final long HELD_BYTES = 400_000;
  private static final ClientLimits LIMITS = new ClientLimits(2, MAX_HEAD_BYTES, 4_000, HELD_BYTES);
  private static final String REQUEST = "POST /%s HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";

  private final ClientBudget budget = ClientBudget.of(2, HELD_BYTES);
  private final List<String> paths = new ArrayList<>();
  private final List<ConnectionGuard.Reason> refusals = new ArrayList<>();
  private int endedRequests;

  private EmbeddedChannel connect() {
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.pipeline().addLast(new HttpRequestDecoder(), new HttpResponseEncoder());
    channel
        .pipeline()
        .addLast(
            "handler",
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext unused, Object message) {
                if (message instanceof HttpRequest request) {
                  paths.add(request.uri());
                }
                endedRequests += message instanceof LastHttpContent ? 1 : 0;
                ReferenceCountUtil.release(message);
              }
            });
    ConnectionGuard.install(channel.pipeline(), "handler", budget, LIMITS, refusals::add);
    return channel;
  }

  private static void receive(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  private static void respond(EmbeddedChannel channel) {
    channel.writeOutbound(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER));
    channel.runPendingTasks();
  }

  private static String sent(EmbeddedChannel channel) {
    StringBuilder text = new StringBuilder();
    for (ByteBuf bytes = channel.readOutbound(); bytes != null; bytes = channel.readOutbound()) {
      text.append(bytes.toString(StandardCharsets.ISO_8859_1));
      bytes.release();
    }
    return text.toString();
  }

  @Test
  void requestInPiecesArrivesWhole() {
    EmbeddedChannel channel = connect();
    for (String each : REQUEST.formatted("a").split("")) {
      receive(channel, each);
    }
    assertThat(paths).containsExactly("/a");
    assertThat(endedRequests).isEqualTo(1);
    assertThat(refusals).isEmpty();
  }

  /** Guards against thousands of requests that one read brings and that are decoded at once. */
  @Test
  void nextRequestWaitsForTheResponse() {
    EmbeddedChannel channel = connect();
    receive(channel, REQUEST.formatted("a") + REQUEST.formatted("b") + REQUEST.formatted("c"));
    assertThat(paths).containsExactly("/a");
    respond(channel);
    assertThat(paths).containsExactly("/a", "/b");
    respond(channel);
    respond(channel);
    assertThat(paths).containsExactly("/a", "/b", "/c").inOrder();
    assertThat(budget.heldBytes()).isEqualTo(0);
  }

  @Test
  void chunkedRequestIsFollowedByTheNext() {
    EmbeddedChannel channel = connect();
    receive(
        channel,
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
            + REQUEST.formatted("b"));
    assertThat(paths).containsExactly("/a");
    respond(channel);
    assertThat(paths).containsExactly("/a", "/b").inOrder();
  }

  @Test
  void earlyResponseDoesNotEndTheRequest() {
    EmbeddedChannel channel = connect();
    receive(channel, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab");
    respond(channel);
    receive(channel, "c" + REQUEST.formatted("b"));
    assertThat(paths).containsExactly("/a", "/b").inOrder();
  }

  /** Guards against connections that stay open after the rejection of a body that never ends. */
  @Test
  void connectionIsClosedAfterTheLastResponseIfItPrecedesTheEndOfTheRequest() {
    EmbeddedChannel channel = connect();
    channel.freezeTime();
    receive(channel, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab");
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
    response.headers().set("Connection", "close");
    channel.writeOutbound(response);
    receive(channel, "cGET / HTTP/1.1\r\n\r\n");
    assertThat(channel.isOpen()).isTrue();
    assertThat(paths).containsExactly("/a");
    channel.advanceTimeBy(1_000, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void headThatDoesNotEndInTimeIsRefused() {
    EmbeddedChannel channel = connect();
    channel.freezeTime();
    receive(channel, "GET / HT");
    channel.advanceTimeBy(LIMITS.headTimeoutMillis() - 1, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    assertThat(refusals).isEmpty();
    channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    assertThat(refusals).containsExactly(ConnectionGuard.Reason.TIMEOUT);
    assertThat(sent(channel)).startsWith("HTTP/1.1 408 ");
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void responseInProgressIsNotCutOffByTheTimeLimitOfHeads() {
    EmbeddedChannel channel = connect();
    channel.freezeTime();
    receive(channel, "GET / HT");
    receive(channel, "TP/1.1\r\n\r\n");
    channel.advanceTimeBy(LIMITS.headTimeoutMillis() * 2, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    assertThat(refusals).isEmpty();
    assertThat(channel.isOpen()).isTrue();
  }

  @Test
  void endlessEmptyLinesAreRefused() {
    EmbeddedChannel channel = connect();
    receive(channel, "\r\n".repeat(32));
    assertThat(refusals).isEmpty();
    receive(channel, "\r\n");
    assertThat(refusals).containsExactly(ConnectionGuard.Reason.EMPTY_LINES);
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void connectionWithTheOldestUnfinishedRequestIsClosedForNewOne() {
    EmbeddedChannel first = connect();
    EmbeddedChannel second = connect();
    receive(first, "GET / HT");
    receive(second, REQUEST.formatted("a"));
    EmbeddedChannel third = connect();
    assertThat(first.isOpen()).isFalse();
    assertThat(second.isOpen()).isTrue();
    receive(third, REQUEST.formatted("b"));
    assertThat(paths).containsExactly("/a", "/b").inOrder();
    EmbeddedChannel fourth = connect();
    assertThat(fourth.isOpen()).isFalse();
    assertThat(sent(fourth)).startsWith("HTTP/1.1 503 ");
    assertThat(refusals)
        .containsExactly(ConnectionGuard.Reason.EVICTED, ConnectionGuard.Reason.CONNECTIONS)
        .inOrder();
  }

  @Test
  void closedConnectionGivesItsMemoryBack() {
    EmbeddedChannel channel = connect();
    receive(channel, REQUEST.formatted("a") + REQUEST.formatted("b"));
    assertThat(budget.heldBytes()).isGreaterThan(0);
    var unused = channel.close();
    assertThat(budget.heldBytes()).isEqualTo(0);
    assertThat(budget.connections()).isEqualTo(0);
  }
}
