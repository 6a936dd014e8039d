package io.briarward.node.http;

import io.briarward.node.settings.ProcessLimits;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.Future;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a server from accepting connections faster than they are counted, and from taking the last
 * descriptors of the process.
 *
 * <p>One thread accepts connections and another one counts them; without a bound, a burst of
 * connections takes all descriptors before the first one is counted. The descriptor of a closed
 * connection is released by the next selection of its event loop, so those of many closed
 * connections may add to those of open ones. Thread-safe where the threads meet: {@link #onCounted}
 * is called on the event loop of connections.
 */
final class AcceptLimiter extends ChannelDuplexHandler {
  private static final int MAX_UNCOUNTED = 16;

  /** Of the descriptors of the process; above, nothing is accepted. */
  private static final double MAX_OPEN_SHARE = 0.85;

  /** Above this share, the open descriptors are counted before each accept. */
  private static final double WATCHED_SHARE = 0.5;

  /** Below it, they are counted once for so many connections, since it costs a system call. */
  private static final int CONNECTIONS_PER_COUNT = 16;

  private static final long RETRY_MILLIS = 10;

  private final Set<Channel> uncounted = ConcurrentHashMap.newKeySet();
  private volatile ChannelHandlerContext server;
  private final long maxDescriptors = ProcessLimits.maxDescriptors();
  private long openDescriptors;
  private int acceptedSinceCount;
  private boolean acceptSuppressed;
  private boolean retryScheduled;

  /**
   * Reports that a connection was counted or refused.
   *
   * <p>The first call adds the limiter to the server of the connection.
   */
  static void onCounted(Channel connection) {
    Channel parent = connection.parent();
    if (parent == null) {
      return; // Not accepted by a server.
    }
    AcceptLimiter limiter = parent.pipeline().get(AcceptLimiter.class);
    if (limiter == null) {
      parent.pipeline().addFirst(new AcceptLimiter());
    } else {
      limiter.onCountedOrClosed(connection);
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    server = added;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    Channel connection = (Channel) message;
    uncounted.add(connection);
    acceptedSinceCount++;
    connection.closeFuture().addListener(unused -> onCountedOrClosed(connection));
    context.fireChannelRead(message);
  }

  @Override
  public void read(ChannelHandlerContext context) {
    acceptSuppressed = uncounted.size() >= MAX_UNCOUNTED || !hasDescriptors();
    if (!acceptSuppressed) {
      context.read();
      return;
    }
    // Without this, the channel reads on whether or not it is asked to.
    context.channel().config().setAutoRead(false);
    if (!retryScheduled) {
      retryScheduled = true;
      Future<?> unused =
          context
              .executor()
              .schedule(
                  () -> {
                    retryScheduled = false;
                    resume(context);
                  },
                  RETRY_MILLIS,
                  TimeUnit.MILLISECONDS);
    }
  }

  private void resume(ChannelHandlerContext context) {
    if (acceptSuppressed) {
      acceptSuppressed = false;
      context.channel().config().setAutoRead(true); // Calls read.
    }
  }

  private boolean hasDescriptors() {
    boolean watched = openDescriptors >= WATCHED_SHARE * maxDescriptors;
    if (watched || acceptedSinceCount >= CONNECTIONS_PER_COUNT) {
      openDescriptors = ProcessLimits.openDescriptors();
      acceptedSinceCount = 0;
    }
    return openDescriptors < MAX_OPEN_SHARE * maxDescriptors;
  }

  private void onCountedOrClosed(Channel connection) {
    ChannelHandlerContext context = server;
    if (uncounted.remove(connection) && context != null) {
      context.executor().execute(() -> resume(context));
    }
  }
}
