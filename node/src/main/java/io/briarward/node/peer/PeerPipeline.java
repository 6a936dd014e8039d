package io.briarward.node.peer;

import io.briarward.wire.proto.PeerMessage;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Initializes the pipeline of a connection: framing, message encoding and the idle time-out. */
final class PeerPipeline extends ChannelInitializer<Channel> {
  private static final int LENGTH_BYTES = 4;
  private static final long IDLE_TIMEOUT_MILLIS = 60_000;

  private final int maxFrameBytes;
  private final BiConsumer<Channel, PeerMessage> receiver;
  private final Consumer<Throwable> onError;

  /**
   * Creates an initializer.
   *
   * @param onError receives the error after which a connection is closed
   */
  PeerPipeline(
      int maxFrameBytes, BiConsumer<Channel, PeerMessage> receiver, Consumer<Throwable> onError) {
    this.maxFrameBytes = maxFrameBytes;
    this.receiver = receiver;
    this.onError = onError;
  }

  @Override
  protected void initChannel(Channel channel) {
    channel
        .pipeline()
        .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
        .addLast(new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new PeerMessageCodec())
        .addLast(new Receiver());
  }

  private final class Receiver extends SimpleChannelInboundHandler<PeerMessage> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
      receiver.accept(context.channel(), message);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof IdleStateEvent) {
        Future<?> unused = context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      onError.accept(cause);
      Future<?> unused = context.close();
    }
  }
}
