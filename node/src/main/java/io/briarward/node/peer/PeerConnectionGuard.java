package io.briarward.node.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.memory.ClientBudget;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Bounds what an accepted connection keeps of messages that have not arrived completely.
 *
 * <p>Stands in front of the decoder of messages. Anyone can connect to the port for peers and
 * announce a message of the maximum size; the connection that has waited longest with an incomplete
 * message is closed first. Confined to the event loop.
 */
final class PeerConnectionGuard extends ChannelInboundHandlerAdapter {
  private static final int LENGTH_BYTES = 4;

  /** The decoder's buffer grows by doubling. */
  private static final long COPIES = 2;

  private final ClientBudget budget;
  private final Consumer<String> onRefused;
  private Optional<ClientBudget.Client> client = Optional.empty();
  private ChannelHandlerContext context;
  private int lengthBytes;
  private long length;
  private long messageBytesLeft;
  private long receivedBytes;

  /**
   * Creates a guard of one connection.
   *
   * @param onRefused receives the reason for which the connection is closed
   */
  PeerConnectionGuard(ClientBudget budget, Consumer<String> onRefused) {
    this.budget = checkNotNull(budget, "budget");
    this.onRefused = checkNotNull(onRefused, "onRefused");
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
    client = budget.open(() -> refuse("the messages of other connections"));
    if (client.isEmpty()) {
      refuse("too many connections");
    }
  }

  private void refuse(String reason) {
    onRefused.accept(reason);
    Future<Void> unused = context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext unused) {
    client.ifPresent(ClientBudget.Client::close);
    context.fireChannelInactive();
  }

  @Override
  public void channelRead(ChannelHandlerContext unused, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    count(bytes);
    if (client.isEmpty() || !charge()) {
      bytes.release();
      return;
    }
    context.fireChannelRead(bytes);
  }

  /** Follows the boundaries of messages. */
  private void count(ByteBuf bytes) {
    int index = bytes.readerIndex();
    while (index < bytes.writerIndex()) {
      if (lengthBytes < LENGTH_BYTES) {
        length = length << Byte.SIZE | bytes.getUnsignedByte(index++);
        lengthBytes++;
        messageBytesLeft = length;
        receivedBytes++;
      } else {
        int taken = (int) Math.min(messageBytesLeft, bytes.writerIndex() - index);
        index += taken;
        messageBytesLeft -= taken;
        receivedBytes += taken;
      }
      if (lengthBytes == LENGTH_BYTES && messageBytesLeft == 0) {
        lengthBytes = 0;
        length = 0;
        receivedBytes = 0;
        client.ifPresent(ClientBudget.Client::onRequestEnded);
      }
    }
  }

  private boolean charge() {
    if (receivedBytes == 0) {
      return true;
    }
    client.ifPresent(ClientBudget.Client::onRequestBegun);
    if (client.get().resize(COPIES * receivedBytes)) {
      return true;
    }
    refuse("its message does not fit beside those of other connections");
    client.get().close();
    return false;
  }
}
