package io.briarward.node.peer;

import io.briarward.wire.proto.PeerMessage;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;

/** Encodes messages as the contents of frames and decodes them. */
final class PeerMessageCodec extends MessageToMessageCodec<ByteBuf, PeerMessage> {
  @Override
  protected void encode(ChannelHandlerContext context, PeerMessage message, List<Object> out) {
    out.add(Unpooled.wrappedBuffer(message.toByteArray()));
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
      throws IOException {
    out.add(PeerMessage.parseFrom(new ByteBufInputStream(frame)));
  }
}
