package io.briarward.node.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import io.vertx.core.net.SocketAddress;

/**
 * Reports bytes that a server sends on a client connection outside of responses.
 *
 * <p>Confined to the event loop of the connection.
 */
final class ResponseBoundaryGuard {
  private final Listener listener;
  private final SocketAddress server;
  private int awaitedResponses;
  private long endedResponses;

  /** Where stray bytes were received. */
  enum Position {
    /** While no response was awaited. */
    IDLE("idle"),
    /** Together with the end of a response. */
    AFTER_RESPONSE("after-response");

    private final String label;

    Position(String label) {
      this.label = label;
    }

    /** Returns the name for logs. */
    String label() {
      return label;
    }
  }

  /** Is told of bytes that belong to no response. */
  @FunctionalInterface
  interface Listener {
    /**
     * Handles stray bytes.
     *
     * @param bytes the number of bytes that were seen, > 0; more may have been received
     */
    void onStrayBytes(SocketAddress server, Position position, int bytes);
  }

  private ResponseBoundaryGuard(Listener listener, SocketAddress server) {
    this.listener = checkNotNull(listener, "listener");
    this.server = server;
  }

  /** Guards a new connection of an HTTP/1.1 client, on which nothing was sent. */
  static void install(HttpConnection connection, Listener listener) {
    ChannelHandlerContext client =
        ((HttpClientConnectionInternal) connection).channelHandlerContext();
    ResponseBoundaryGuard guard = new ResponseBoundaryGuard(listener, connection.remoteAddress());
    client.pipeline().addFirst(guard.new ByteHandler());
    client.pipeline().addBefore(client.name(), null, guard.new MessageHandler());
  }

  /** Sees the bytes before they are decoded. */
  private final class ByteHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof ByteBuf bytes && awaitedResponses == 0) {
        listener.onStrayBytes(server, Position.IDLE, bytes.readableBytes());
        context.fireChannelRead(bytes);
      } else if (message instanceof ByteBuf bytes && bytes.readableBytes() > 1) {
        decode(context, bytes);
      } else {
        context.fireChannelRead(message);
      }
    }

    /** Decodes the last byte apart: if the response ends before it, it belongs to no response. */
    private void decode(ChannelHandlerContext context, ByteBuf bytes) {
      long endedBefore = endedResponses;
      int lastIndex = bytes.writerIndex() - 1;
      ByteBuf lastByte = bytes.retainedSlice(lastIndex, 1);
      context.fireChannelRead(bytes.writerIndex(lastIndex));
      if (endedResponses > endedBefore) {
        listener.onStrayBytes(server, Position.AFTER_RESPONSE, 1);
      }
      context.fireChannelRead(lastByte);
    }
  }

  /** Sees the requests before they are encoded and the responses after they were decoded. */
  private final class MessageHandler extends ChannelDuplexHandler {
    private boolean informational;

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (message instanceof HttpRequest) {
        awaitedResponses++;
      }
      context.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpResponse response) {
        informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      }
      if (message instanceof LastHttpContent && !informational && awaitedResponses > 0) {
        awaitedResponses--;
        endedResponses++;
      }
      context.fireChannelRead(message);
    }
  }
}
