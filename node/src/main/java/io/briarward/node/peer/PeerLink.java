package io.briarward.node.peer;

import io.briarward.wire.proto.PeerMessage;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * The outgoing connection to one peer, opened when a message is to be sent.
 *
 * <p>Messages are queued while the connection is being opened and dropped if that fails; further
 * messages are then rejected until a backoff delay with jitter has passed. Thread-safe.
 */
final class PeerLink implements AutoCloseable {
  private static final long MIN_BACKOFF_MILLIS = 100;
  private static final long MAX_BACKOFF_MILLIS = 2_000;
  private static final long SILENCE_LIMIT_MILLIS = 2_000;

  private final InetSocketAddress address;
  private final Bootstrap bootstrap;
  private final LongSupplier nowMillis;
  private final RandomGenerator random;
  private final long maxQueuedBytes;
  private final Queue<PeerMessage> queue = new ArrayDeque<>();
  private long queuedBytes;
  private Optional<Channel> channel = Optional.empty();
  private boolean connecting;
  private boolean closed;
  private long backoffMillis = MIN_BACKOFF_MILLIS;
  private long retryAtMillis = Long.MIN_VALUE;
  private long lastReadMillis;

  PeerLink(
      InetSocketAddress address,
      Bootstrap bootstrap,
      LongSupplier nowMillis,
      RandomGenerator random,
      long maxQueuedBytes) {
    this.address = address;
    this.bootstrap = bootstrap;
    this.nowMillis = nowMillis;
    this.random = random;
    this.maxQueuedBytes = maxQueuedBytes;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Sends or queues a message; returns false if the message is dropped. */
  synchronized boolean send(PeerMessage message) {
    if (closed) {
      return false;
    }
    if (channel.isPresent() && channel.get().isActive()) {
      return write(channel.get(), message);
    }
    return enqueue(message) && connect();
  }

  /** Records that a message was received from the peer. */
  synchronized void onRead() {
    lastReadMillis = nowMillis.getAsLong();
  }

  /**
   * Closes the connection if nothing was received for {@link #SILENCE_LIMIT_MILLIS}.
   *
   * <p>After a network partition, TCP would retransmit for minutes on the old connection, whereas a
   * new connection works at once.
   */
  synchronized void onRequestTimeout() {
    if (nowMillis.getAsLong() - lastReadMillis >= SILENCE_LIMIT_MILLIS) {
      closeChannel();
    }
  }

  @Override
  public synchronized void close() {
    closed = true;
    clearQueue();
    closeChannel();
  }

  private void closeChannel() {
    channel.ifPresent(
        open -> {
          Future<?> unused = open.close();
        });
    channel = Optional.empty();
  }

  private static boolean write(Channel channel, PeerMessage message) {
    if (!channel.isWritable()) {
      return false;
    }
    Future<?> unused = channel.writeAndFlush(message, channel.voidPromise());
    return true;
  }

  private boolean enqueue(PeerMessage message) {
    int bytes = message.getSerializedSize();
    boolean backingOff = !connecting && nowMillis.getAsLong() < retryAtMillis;
    if (backingOff || queuedBytes + bytes > maxQueuedBytes) {
      return false;
    }
    queue.add(message);
    queuedBytes += bytes;
    return true;
  }

  private boolean connect() {
    if (!connecting) {
      connecting = true;
      ChannelFuture future = bootstrap.connect(address);
      Future<?> unused = future.addListener(done -> onConnected(future));
    }
    return true;
  }

  private synchronized void onConnected(ChannelFuture future) {
    connecting = false;
    if (!future.isSuccess()) {
      clearQueue();
      retryAtMillis = nowMillis.getAsLong() + withJitter(backoffMillis);
      backoffMillis = Math.min(2 * backoffMillis, MAX_BACKOFF_MILLIS);
      return;
    }
    if (closed) {
      Future<?> unused = future.channel().close();
      return;
    }
    backoffMillis = MIN_BACKOFF_MILLIS;
    lastReadMillis = nowMillis.getAsLong();
    channel = Optional.of(future.channel());
    for (PeerMessage message : queue) {
      boolean unused = write(future.channel(), message);
    }
    clearQueue();
  }

  private void clearQueue() {
    queue.clear();
    queuedBytes = 0;
  }

  private long withJitter(long millis) {
    return millis / 2 + random.nextLong(millis);
  }

  static long monotonicMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
