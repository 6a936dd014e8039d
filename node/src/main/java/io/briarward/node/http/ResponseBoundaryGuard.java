package io.briarward.node.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.annotations.VisibleForTesting;
import io.briarward.core.forwarding.JoinedHeads;
import io.briarward.core.forwarding.ResponseSyntax;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import io.vertx.core.net.SocketAddress;
import java.util.Optional;

/**
 * Closes a client connection on which the server sends bytes that belong to no response, or a
 * response that breaks the grammar, see {@link ResponseSyntax}.
 *
 * <p>A decoder keeps an incomplete head and completes it with the bytes that follow. So if a server
 * sends the beginning of a surplus response on a pooled connection, the response to the next
 * request would be read as the rest of it and get its status. Bytes are therefore decoded only
 * while a response is awaited, a response must end with the last of the bytes that were received
 * together, and a head must not contain another status line. A server that sends interim responses
 * without end does not occupy the event loop until the time-out of the request.
 *
 * <p>A body without a length is whole once the server has ended the connection, but not if the
 * connection was reset or closed by this side. Confined to the event loop of the connection.
 */
final class ResponseBoundaryGuard {
  private static final AttributeKey<ResponseBoundaryGuard> GUARD =
      AttributeKey.valueOf(ResponseBoundaryGuard.class, "guard");

  /** Far more than servers send; each takes processor time and keeps the response away. */
  private static final int MAX_INTERIM_RESPONSES = 16;

  private final Listener listener;
  private final SocketAddress server;
  private final MessageHandler messageHandler = new MessageHandler();
  private final ResponseSyntax syntax = ResponseSyntax.create();
  private int sentRequests;
  private int awaitedResponses;
  private boolean decoding;
  private boolean rejecting;
  private Optional<HttpContent> heldContent = Optional.empty();
  private Optional<LastHttpContent> heldEnd = Optional.empty();

  /** Where stray bytes were received. */
  enum Position {
    /** While no response was awaited. */
    IDLE("idle"),
    /** Together with the end of a response. */
    AFTER_RESPONSE("after-response"),
    /** Before a response, so that the two have one head. */
    BEFORE_RESPONSE("before-response"),
    /** In place of a response: interim ones without end. */
    INTERIM("interim");

    private final String label;

    Position(String label) {
      this.label = label;
    }

    /** Returns the name for logs. */
    String label() {
      return label;
    }
  }

  /** Is told why connections are closed. */
  interface Listener {
    /**
     * Handles stray bytes, after which the connection is closed.
     *
     * @param server the address of the server that sent them
     */
    void onStrayBytes(SocketAddress server, Position position);

    /**
     * Handles a response that breaks the grammar, after which the connection is closed.
     *
     * @param server the address of the server that sent it
     */
    void onBrokenResponse(SocketAddress server, ResponseSyntax.Fault fault);
  }

  private ResponseBoundaryGuard(Listener listener, SocketAddress server) {
    this.listener = checkNotNull(listener, "listener");
    this.server = server;
  }

  /** Guards a new connection of an HTTP/1.1 client, on which nothing was sent. */
  static void install(HttpConnection connection, Listener listener) {
    install(
        ((HttpClientConnectionInternal) connection).channelHandlerContext(),
        connection.remoteAddress(),
        listener);
  }

  /**
   * Guards a new connection.
   *
   * @param client the context of the handler that sends requests and receives decoded responses
   */
  @VisibleForTesting
  static void install(ChannelHandlerContext client, SocketAddress server, Listener listener) {
    ResponseBoundaryGuard guard = new ResponseBoundaryGuard(listener, server);
    client.channel().attr(GUARD).set(guard);
    // The end of the input becomes an event of its own, told apart from a reset.
    client.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    client.pipeline().addFirst(guard.new ByteHandler());
    client.pipeline().addBefore(client.name(), null, guard.messageHandler);
  }

  /** Returns whether at most one request was sent on a guarded connection. */
  static boolean isFirstExchange(HttpConnection connection) {
    return isFirstExchange(
        ((HttpClientConnectionInternal) connection).channelHandlerContext().channel());
  }

  @VisibleForTesting
  static boolean isFirstExchange(Channel channel) {
    return channel.attr(GUARD).get().sentRequests <= 1;
  }

  /** Ignores what the server sends from now on; the connection is about to be closed. */
  private void reject(Position position) {
    rejecting = true;
    listener.onStrayBytes(server, position);
  }

  /** Sees the bytes before they are decoded. */
  private final class ByteHandler extends ChannelInboundHandlerAdapter {
    /**
     * Ends a body without a length, if the server has ended the connection.
     *
     * <p>The client is told of the end before the writes of an upload fail.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      context.fireUserEventTriggered(event);
      if (event == ChannelInputShutdownEvent.INSTANCE) {
        context.channel().close();
      }
    }

    /** A reset that is seen by a read: the end of the input follows as if it were orderly. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      rejecting = true;
      context.fireExceptionCaught(cause);
    }

    /**
     * The decoder takes any end of the connection for that of a body without a length. Here it is
     * one without an orderly end of the input, for example after a write that failed.
     */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
      rejecting = true;
      context.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (!(message instanceof ByteBuf bytes)) {
        context.fireChannelRead(message);
      } else if (rejecting) {
        bytes.release();
      } else if (awaitedResponses == 0) {
        close(context, Position.IDLE, bytes);
      } else {
        check(context, bytes);
      }
    }

    private void check(ChannelHandlerContext context, ByteBuf bytes) {
      Optional<ResponseSyntax.Fault> fault = syntax.read(bytes.nioBuffer());
      if (fault.isEmpty()) {
        decode(context, bytes);
      } else {
        listener.onBrokenResponse(server, fault.get());
        close(context, bytes);
      }
    }

    /**
     * Decodes the last byte apart from the others: if the response ends before it, the byte belongs
     * to no response. The client is told of the end afterwards, so that it does not send a request
     * on a connection that is closed. The content is passed on in one piece.
     */
    private void decode(ChannelHandlerContext context, ByteBuf bytes) {
      decoding = true;
      int lastIndex = bytes.writerIndex() - 1;
      ByteBuf lastByte = bytes.retainedSlice(lastIndex, 1);
      context.fireChannelRead(bytes.writerIndex(lastIndex));
      if (heldEnd.isPresent()) {
        close(context, Position.AFTER_RESPONSE, lastByte);
      } else {
        context.fireChannelRead(lastByte);
      }
      decoding = false;
      messageHandler.release();
    }

    private void close(ChannelHandlerContext context, Position position, ByteBuf strayBytes) {
      reject(position);
      close(context, strayBytes);
    }

    private void close(ChannelHandlerContext context, ByteBuf rejectedBytes) {
      rejectedBytes.release();
      rejecting = true;
      // Through all handlers, so that the client takes the connection out of its pool at once.
      context.channel().close();
    }
  }

  /** Sees the requests before they are encoded and the responses after they were decoded. */
  private final class MessageHandler extends ChannelDuplexHandler {
    private Optional<ChannelHandlerContext> ownContext = Optional.empty();
    private boolean informational;
    private int interimResponses;

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      ownContext = Optional.of(context);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (message instanceof HttpRequest request) {
        syntax.onRequest(request.method().name());
        sentRequests++;
        awaitedResponses++;
        interimResponses = 0;
      }
      context.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (heldEnd.isPresent() || rejecting) {
        ReferenceCountUtil.release(message);
        return;
      }
      if (message instanceof HttpResponse response) {
        onHead(response);
      }
      boolean failed = message instanceof HttpObject part && part.decoderResult().isFailure();
      if (!failed && informational) {
        // The client would take most interim responses for the final one.
        ReferenceCountUtil.release(message);
      } else if (!failed && message instanceof LastHttpContent end) {
        awaitedResponses--;
        heldEnd = Optional.of(end);
        if (!decoding) {
          release(); // A body without a length ends with the connection.
        }
      } else if (!failed && decoding && isContent(message)) {
        HttpContent content = (HttpContent) message;
        heldContent = Optional.of(heldContent.map(held -> join(held, content)).orElse(content));
      } else {
        release();
        context.fireChannelRead(message);
      }
    }

    private void onHead(HttpResponse response) {
      informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      interimResponses += informational ? 1 : 0;
      if (syntax.endsWithConnection()) {
        // So that the client does not use the connection again at the end of the body.
        response.headers().add(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      if (interimResponses > MAX_INTERIM_RESPONSES) {
        invalidate(response, Position.INTERIM, "interim responses without end");
      } else if (JoinedHeads.isJoined(response.status().reasonPhrase(), response.headers())) {
        invalidate(response, Position.BEFORE_RESPONSE, "head joined from two responses");
      }
    }

    /** Makes a response invalid, so that the client closes the connection. */
    private void invalidate(HttpResponse response, Position position, String cause) {
      reject(position);
      response.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(cause)));
    }

    /** Passes on what was held. */
    void release() {
      Optional<HttpContent> content = heldContent;
      Optional<LastHttpContent> end = heldEnd;
      heldContent = Optional.empty();
      heldEnd = Optional.empty();
      if (content.isPresent() && end.isPresent()) {
        pass(join(content.get(), end.get()));
        pass(end.get().replace(Unpooled.EMPTY_BUFFER));
      } else {
        content.ifPresent(this::pass);
        end.ifPresent(this::pass);
      }
    }

    private void pass(HttpContent content) {
      ownContext.orElseThrow().fireChannelRead(content);
    }
  }

  private static boolean isContent(Object message) {
    return message instanceof HttpContent && !(message instanceof LastHttpContent);
  }

  private static HttpContent join(HttpContent first, HttpContent second) {
    return new DefaultHttpContent(Unpooled.wrappedBuffer(first.content(), second.content()));
  }
}
