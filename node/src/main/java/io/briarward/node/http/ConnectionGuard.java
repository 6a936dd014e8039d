package io.briarward.node.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.Longs;
import io.briarward.core.memory.ClientBudget;
import io.briarward.core.memory.ClientLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Bounds what a client can make a server keep on one connection.
 *
 * <p>Stands in front of the HTTP decoder. It counts the head of a request while it arrives, takes
 * the memory for it from a {@link ClientBudget}, gives the client a limited time to complete it,
 * and passes a request on only once the response to the one before has been written. Everything
 * else about requests is left to the decoder and its limits. Confined to the event loop.
 */
final class ConnectionGuard extends ChannelDuplexHandler {
  /** More than clients send by mistake after a body; the decoder skips any number. */
  private static final int MAX_EMPTY_LINES = 32;

  /** The largest read, which the decoder keeps as a whole while a line is incomplete. */
  private static final int MAX_READ_BYTES = 16 << 10;

  private static final int FIRST_READ_BYTES = 2 << 10;
  private static final int MIN_READ_BYTES = 512;

  /** Heads are charged in steps, so that most requests ask the budget once. */
  private static final long CHARGE_STEP_BYTES = 2 << 10;

  /**
   * For how long a client that still sends can read the last response of a connection; a close at
   * once would discard the response.
   */
  private static final long LINGER_MILLIS = 1_000;

  private static final String NOT_RUN_RESPONSE =
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
          + "Content-Length: 0\r\n\r\n";
  private static final String TIMEOUT_RESPONSE =
      "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  private static final String TOO_LARGE_RESPONSE =
      "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n"
          + "Content-Length: 0\r\n\r\n";
  private static final String EMPTY_LINES_RESPONSE =
      "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

  /** Why a connection was refused or closed; the names are labels of a metric. */
  enum Reason {
    CONNECTIONS("too-many-connections", NOT_RUN_RESPONSE),
    EVICTED("evicted", ""),
    HEADS("heads-too-large-together", NOT_RUN_RESPONSE),
    HEAD("head-too-large", TOO_LARGE_RESPONSE),
    EMPTY_LINES("empty-lines", EMPTY_LINES_RESPONSE),
    TIMEOUT("head-too-slow", TIMEOUT_RESPONSE);

    private final String label;
    private final String response;

    Reason(String label, String response) {
      this.label = label;
      this.response = response;
    }

    String label() {
      return label;
    }
  }

  private final ClientBudget budget;
  private final ClientLimits limits;
  private final Consumer<Reason> onRefused;
  private final RequestFraming framing = new RequestFraming();
  private Optional<ClientBudget.Client> client = Optional.empty();
  private ChannelHandlerContext context;
  private ByteBuf held = Unpooled.EMPTY_BUFFER;
  private long chargedBytes;
  private Optional<ScheduledFuture<?>> headTimeout = Optional.empty();
  private boolean requestBegun;
  private boolean requestEnded;
  private boolean responseBegun;
  private boolean responseEnded;
  private boolean lastResponse;
  private boolean draining;
  private boolean feeding;
  private boolean readSuppressed;
  private boolean refused;

  private ConnectionGuard(ClientBudget budget, ClientLimits limits, Consumer<Reason> onRefused) {
    this.budget = checkNotNull(budget, "budget");
    this.limits = checkNotNull(limits, "limits");
    this.onRefused = checkNotNull(onRefused, "onRefused");
  }

  /**
   * Adds a guard to a new connection.
   *
   * @param lastHandler the name of the handler that takes requests and writes responses
   */
  static void install(
      ChannelPipeline pipeline,
      String lastHandler,
      ClientBudget budget,
      ClientLimits limits,
      Consumer<Reason> onRefused) {
    ConnectionGuard guard = new ConnectionGuard(budget, limits, onRefused);
    pipeline
        .channel()
        .config()
        .setRecvByteBufAllocator(
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1));
    pipeline.addBefore(lastHandler, null, guard.new Observer());
    pipeline.addFirst(guard);
    AcceptLimiter.onCounted(pipeline.channel());
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
    client = budget.open(() -> refuse(Reason.EVICTED));
    if (client.isEmpty()) {
      refuse(Reason.CONNECTIONS);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext unused) {
    release();
    context.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext unused) {
    release();
  }

  private void release() {
    client.ifPresent(ClientBudget.Client::close);
    cancelHeadTimeout();
    refused = true;
    held.release();
    held = Unpooled.EMPTY_BUFFER;
  }

  @Override
  public void read(ChannelHandlerContext unused) {
    if (!held.isReadable()) {
      context.read();
      return;
    }
    // What a client sends ahead of a response stays with its own system. The channel would read on
    // whether or not it is asked to.
    readSuppressed = true;
    context.channel().config().setAutoRead(false);
  }

  @Override
  public void channelRead(ChannelHandlerContext unused, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    if (refused || draining) {
      bytes.release();
    } else if (held.isReadable() || feeding) {
      held = Unpooled.wrappedBuffer(held, bytes);
    } else {
      feed(bytes);
    }
  }

  /** Passes bytes on up to the end of a request, and holds those of the next one. */
  private void feed(ByteBuf bytes) {
    feeding = true;
    try {
      while (bytes.isReadable() && !refused && !draining && !requestEnded) {
        int end = framing.consume(bytes::getByte, bytes.readerIndex(), bytes.writerIndex());
        if (!charge()) {
          break;
        }
        context.fireChannelRead(bytes.readRetainedSlice(end - bytes.readerIndex()));
      }
    } finally {
      feeding = false;
    }
    if (bytes.isReadable() && !refused && !draining) {
      held = bytes;
    } else {
      bytes.release();
    }
  }

  /** Counts what has arrived of a head; returns false if the connection was refused for it. */
  private boolean charge() {
    if (framing.emptyLines() > MAX_EMPTY_LINES) {
      return refuse(Reason.EMPTY_LINES);
    }
    if (!requestBegun && framing.headBegun()) {
      requestBegun = true;
      client.ifPresent(ClientBudget.Client::onRequestBegun);
    }
    if (framing.headBytes() > limits.maxHeadBytes() + ClientLimits.MAX_FIRST_LINE_BYTES) {
      return refuse(Reason.HEAD);
    }
    long cost = ClientLimits.headCost(framing.headBytes(), framing.headLines());
    if (requestBegun && cost > chargedBytes) {
      chargedBytes = Math.max(cost, Math.min(cost + CHARGE_STEP_BYTES, limits.maxHeldBytes()));
      if (client.isEmpty() || !client.get().resize(chargedBytes)) {
        return refuse(Reason.HEADS);
      }
    }
    return true;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext unused) {
    if (requestBegun && !framing.inBody() && headTimeout.isEmpty() && !refused) {
      headTimeout =
          Optional.of(
              context
                  .executor()
                  .schedule(
                      () -> refuse(Reason.TIMEOUT),
                      limits.headTimeoutMillis(),
                      TimeUnit.MILLISECONDS));
    }
    context.fireChannelReadComplete();
    if (draining) {
      context.read();
    }
  }

  private void cancelHeadTimeout() {
    headTimeout.ifPresent(timeout -> timeout.cancel(false));
    headTimeout = Optional.empty();
  }

  /** Closes the connection, with a response if no part of another one was sent. */
  private boolean refuse(Reason reason) {
    if (refused) {
      return false;
    }
    refused = true;
    onRefused.accept(reason);
    client.ifPresent(ClientBudget.Client::close);
    cancelHeadTimeout();
    if (reason.response.isEmpty() || framing.inBody() || responseBegun) {
      Future<Void> unused = context.close();
    } else {
      byte[] response = reason.response.getBytes(StandardCharsets.US_ASCII);
      Future<Void> unused =
          context
              .writeAndFlush(Unpooled.wrappedBuffer(response))
              .addListener(ChannelFutureListener.CLOSE);
    }
    return false;
  }

  private void onHead(HttpRequest request) {
    cancelHeadTimeout();
    if (HttpUtil.isTransferEncodingChunked(request)) {
      framing.onChunkedBody();
    } else {
      Long length = parseLength(request);
      framing.onFixedBody(length == null || length < 0 ? 0 : length);
    }
  }

  private static Long parseLength(HttpRequest request) {
    String length = request.headers().get(HttpHeaderNames.CONTENT_LENGTH);
    return length == null ? null : Longs.tryParse(length.trim());
  }

  private void onRequestEnd() {
    requestEnded = true;
    client.ifPresent(ClientBudget.Client::onRequestKept);
    beginNextIfEnded();
  }

  private void onResponseBegin(HttpResponse response) {
    responseBegun = true;
    lastResponse = !HttpUtil.isKeepAlive(response);
    client.ifPresent(ClientBudget.Client::onRequestKept);
  }

  private void onResponseEnd() {
    responseEnded = true;
    beginNextIfEnded();
  }

  private void beginNextIfEnded() {
    if (responseEnded && !requestEnded && lastResponse) {
      drain();
      return;
    }
    if (responseEnded && !requestEnded) {
      // Nothing is lost for the client if the rest of its body is not awaited.
      client.ifPresent(ClientBudget.Client::onRequestBegun);
    }
    if (!requestEnded || !responseEnded) {
      return;
    }
    requestBegun = false;
    requestEnded = false;
    responseBegun = false;
    responseEnded = false;
    chargedBytes = 0;
    framing.onRequestEnd();
    client.ifPresent(ClientBudget.Client::onRequestEnded);
    if (held.isReadable() && !feeding) {
      // Not at once, since a response is still being written further up the stack.
      context.executor().execute(this::feedHeld);
    }
  }

  /** Drops the rest of a request whose response is the last one, and closes the connection. */
  private void drain() {
    draining = true;
    if (context.channel() instanceof DuplexChannel duplex) {
      Future<Void> unused = duplex.shutdownOutput();
    }
    Future<?> unusedClose =
        context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    context.read();
  }

  private void feedHeld() {
    if (!feeding && held.isReadable() && !requestEnded) {
      ByteBuf bytes = held;
      held = Unpooled.EMPTY_BUFFER;
      feed(bytes);
      channelReadComplete(context);
    }
    if (readSuppressed && !held.isReadable()) {
      readSuppressed = false;
      context.channel().config().setAutoRead(true); // Calls read.
    }
  }

  /** Reports the decoded requests and the responses of the connection to its guard. */
  private final class Observer extends ChannelDuplexHandler {
    @Override
    public void channelRead(ChannelHandlerContext observed, Object message) {
      if (message instanceof HttpRequest request) {
        onHead(request);
      }
      boolean ends = message instanceof LastHttpContent;
      if (ends) {
        onRequestEnd();
      }
      observed.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext observed, Object message, ChannelPromise promise) {
      boolean interim =
          message instanceof HttpResponse head
              && head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      if (message instanceof HttpResponse response && !interim) {
        onResponseBegin(response);
      }
      if (message instanceof LastHttpContent && !interim) {
        ChannelPromise written = promise.unvoid();
        written.addListener(unused -> onResponseEnd());
        observed.write(message, written);
      } else {
        observed.write(message, promise);
      }
    }
  }
}
