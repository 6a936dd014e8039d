package io.briarward.node.http;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import io.briarward.core.forwarding.ResponseSyntax;
import io.briarward.node.http.ResponseBoundaryGuard.Position;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ResponseBoundaryGuardTest {
  private static final String SUCCESS = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  private static final String FAILURE = "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\n\r\n";

  private final List<Position> strayBytes = new ArrayList<>();
  private final List<ResponseSyntax.Fault> faults = new ArrayList<>();
  private Client client = new Client();
  private EmbeddedChannel channel = openConnection();

  /** Records the responses that reach the client, in a form such as {@code 200 hello.}. */
  private static final class Client extends ChannelInboundHandlerAdapter {
    final StringBuilder received = new StringBuilder();
    final List<String> chunks = new ArrayList<>();

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (((HttpObject) message).decoderResult().isFailure()) {
        received.append("invalid");
      } else if (message instanceof HttpResponse response) {
        received.append(response.status().code()).append(' ');
      }
      if (message instanceof HttpContent content) {
        String chunk = content.content().toString(US_ASCII);
        received.append(chunk);
        if (!chunk.isEmpty()) {
          chunks.add(chunk);
        }
      }
      if (message instanceof LastHttpContent) {
        received.append('.');
      }
      ReferenceCountUtil.release(message);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      received.append("failed");
    }
  }

  private final class Recorder implements ResponseBoundaryGuard.Listener {
    @Override
    public void onStrayBytes(SocketAddress server, Position position) {
      strayBytes.add(position);
    }

    @Override
    public void onBrokenResponse(SocketAddress server, ResponseSyntax.Fault fault) {
      faults.add(fault);
    }
  }

  private EmbeddedChannel openConnection() {
    client = new Client();
    EmbeddedChannel opened = new EmbeddedChannel(new HttpClientCodec(), client);
    ResponseBoundaryGuard.install(
        opened.pipeline().context(client),
        SocketAddress.inetSocketAddress(80, "127.0.0.1"),
        new Recorder());
    return opened;
  }

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  private void send() {
    channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
  }

  private void receive(String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, US_ASCII));
  }

  private String received() {
    return client.received.toString();
  }

  @Test
  void responsesInTurnAreReceivedWhole() {
    for (String response : List.of(SUCCESS, CHUNKED, INTERIM + FAILURE)) {
      send();
      receive(response);
      assertThat(channel.isOpen()).isTrue();
    }
    assertThat(received()).isEqualTo("200 hello.200 hello.500 failed.");
    assertThat(strayBytes).isEmpty();
  }

  @Test
  void responseInPartsOfAnySizeIsReceivedWhole() {
    for (int size = 1; size <= CHUNKED.length(); size++) {
      send();
      for (int i = 0; i < CHUNKED.length(); i += size) {
        receive(CHUNKED.substring(i, Math.min(CHUNKED.length(), i + size)));
      }
    }
    assertThat(received()).isEqualTo("200 hello.".repeat(CHUNKED.length()));
    assertThat(strayBytes).isEmpty();
  }

  /** A relay sends each chunk on, and holds the last one back until the response is whole. */
  @Test
  void contentOfOneReadIsReceivedAsOneChunk() {
    send();
    receive(SUCCESS);
    send();
    receive(CHUNKED);
    send();
    receive("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    receive("hello");
    receive("hello");
    assertThat(client.chunks).containsExactly("hello", "hello", "hello", "hello");
  }

  @Test
  void bodyWithoutLengthIsWholeOnceTheServerEndsTheConnection() {
    send();
    receive("HTTP/1.1 200 OK\r\n\r\nhello");
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    assertThat(received()).isEqualTo("200 hello.");
    assertThat(channel.isOpen()).isFalse();
  }

  /** The failed write of an upload closes the connection without another sign of the reset. */
  @Test
  void bodyWithoutLengthIsNotWholeIfThisSideClosesTheConnection() {
    send();
    receive("HTTP/1.1 200 OK\r\n\r\nhello");
    channel.close();
    assertThat(received()).isEqualTo("200 hello");
  }

  @Test
  void bodyWithoutLengthIsNotWholeIfTheConnectionIsReset() {
    send();
    receive("HTTP/1.1 200 OK\r\n\r\nhello");
    channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    assertThat(received()).isEqualTo("200 hellofailed");
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void responseThatBreaksTheGrammarClosesTheConnection() {
    send();
    receive("HTTP/1.1 000 Zero\r\nContent-Length: 5\r\n\r\nhello");
    assertThat(channel.isOpen()).isFalse();
    assertThat(received()).isEmpty();
    assertThat(faults).containsExactly(ResponseSyntax.Fault.STATUS_LINE);
    assertThat(strayBytes).isEmpty();
  }

  @Test
  void bytesWhileNoResponseIsAwaitedCloseTheConnection() {
    for (int length = 1; length <= SUCCESS.length(); length++) {
      channel = openConnection();
      send();
      receive(SUCCESS);
      receive(SUCCESS.substring(0, length));
      assertThat(channel.isOpen()).isFalse();
      assertThat(received()).isEqualTo("200 hello.");
    }
    assertThat(strayBytes).hasSize(SUCCESS.length());
    assertThat(strayBytes).contains(Position.IDLE);
  }

  @Test
  void bytesBeforeTheFirstRequestCloseTheConnection() {
    receive("HTTP/1.1 200 O");
    assertThat(channel.isOpen()).isFalse();
    assertThat(received()).isEmpty();
  }

  @Test
  void bytesTogetherWithTheEndOfResponseCloseTheConnectionAfterTheResponse() {
    for (String first : List.of(SUCCESS, CHUNKED)) {
      for (int length = 1; length <= SUCCESS.length(); length++) {
        channel = openConnection();
        send();
        receive(first + SUCCESS.substring(0, length));
        assertThat(channel.isOpen()).isFalse();
        assertThat(received()).isEqualTo("200 hello.");
      }
    }
    assertThat(strayBytes).containsNoneOf(Position.IDLE, Position.BEFORE_RESPONSE);
  }

  @Test
  void onlyTheFirstRequestOfConnectionIsTheFirstExchange() {
    assertThat(ResponseBoundaryGuard.isFirstExchange(channel)).isTrue();
    send();
    receive(SUCCESS);
    assertThat(ResponseBoundaryGuard.isFirstExchange(channel)).isTrue();
    send();
    assertThat(ResponseBoundaryGuard.isFirstExchange(channel)).isFalse();
  }

  /** The status of the response that follows must never be replaced. */
  @Test
  void beginningOfAnotherResponseDoesNotChangeTheStatusOfTheAwaitedOne() {
    int endOfHead = SUCCESS.indexOf("\r\n\r\n") + 3;
    for (int length = 1; length <= endOfHead; length++) {
      channel = openConnection();
      send();
      receive(SUCCESS.substring(0, length));
      receive(FAILURE);
      assertThat(received()).doesNotContain("200");
    }
    assertThat(strayBytes).contains(Position.BEFORE_RESPONSE);
  }

  /** Guards against interim responses without end, which occupied the event loop. */
  @Test
  void interimResponsesWithoutEndCloseTheConnection() {
    send();
    for (int i = 0; i < 16; i++) {
      receive(INTERIM);
    }
    assertThat(client.received.toString()).doesNotContain("invalid");
    receive(INTERIM.repeat(100));
    assertThat(client.received.toString()).contains("invalid");
    assertThat(strayBytes).containsExactly(Position.INTERIM);
  }

  @Test
  void interimResponsesAreCountedForEachRequest() {
    for (int i = 0; i < 20; i++) {
      send();
      receive(INTERIM);
      receive(SUCCESS);
    }
    assertThat(client.received.toString()).doesNotContain("invalid");
    assertThat(strayBytes).isEmpty();
  }
}
