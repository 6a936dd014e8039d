package io.briarward.node.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.FailureException;
import io.briarward.core.memory.ClientBudget;
import io.briarward.node.telemetry.RepeatedErrors;
import io.briarward.wire.proto.PeerMessage;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.Future;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * A peer network over TCP with length-prefixed protobuf messages.
 *
 * <p>There is one outgoing connection per peer, opened on demand; a response is sent on the
 * connection that received its request. Thread-safe.
 */
public final class NettyPeerNetwork implements PeerNetwork {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int EVENT_LOOP_THREADS = 1;
  private static final long ERROR_LOG_INTERVAL_MILLIS = 10_000;
  private static final AttributeKey<PeerLink> LINK = AttributeKey.valueOf("briarward.peerLink");

  private final PeerSettings settings;
  private final Scheduler scheduler;
  private final SecureRandom random = new SecureRandom();
  private final Map<PeerMessage.BodyCase, PeerHandler> handlers = new ConcurrentHashMap<>();
  private final Map<Long, SingleEmitter<PeerMessage>> pendingRequests = new ConcurrentHashMap<>();
  private final AtomicLong lastCorrelationId = new AtomicLong();
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private volatile ImmutableMap<String, InetSocketAddress> addresses = ImmutableMap.of();
  private final RepeatedErrors errors = RepeatedErrors.withInterval(ERROR_LOG_INTERVAL_MILLIS);
  private final ClientBudget accepted;
  private final Channel server;

  private NettyPeerNetwork(PeerSettings settings, Scheduler scheduler) {
    this.settings = settings;
    this.scheduler = scheduler;
    this.accepted = ClientBudget.of(settings.maxAccepted(), settings.maxIncompleteBytes());
    this.server = listen();
  }

  /**
   * Starts listening.
   *
   * @param scheduler runs the time-outs of requests
   * @throws RuntimeException if the address cannot be bound
   */
  public static NettyPeerNetwork create(PeerSettings settings, Scheduler scheduler) {
    checkNotNull(settings, "settings");
    checkNotNull(scheduler, "scheduler");
    return new NettyPeerNetwork(settings, scheduler);
  }

  /** Returns the port that peers connect to. */
  public int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  @Override
  public void setHandler(PeerMessage.BodyCase body, PeerHandler handler) {
    handlers.put(body, handler);
  }

  @Override
  public void setAddresses(ImmutableMap<String, InetSocketAddress> byVmId) {
    addresses = byVmId;
    links
        .entrySet()
        .removeIf(
            entry ->
                closeIfAddressChanged(
                    entry.getValue(), Optional.ofNullable(byVmId.get(entry.getKey()))));
  }

  @Override
  public void send(String vmId, PeerMessage message) {
    PeerMessage outgoing = withSender(message).setCorrelationId(0).setAnswer(false).build();
    link(vmId).ifPresent(link -> link.send(outgoing));
  }

  @Override
  public Single<PeerMessage> request(String vmId, PeerMessage message, long timeoutMillis) {
    checkArgument(timeoutMillis > 0, "timeoutMillis is %s, expected > 0", timeoutMillis);
    return Single.defer(() -> startRequest(vmId, message, timeoutMillis));
  }

  @Override
  public void close() {
    Future<?> unusedServer = server.close();
    setAddresses(ImmutableMap.of());
    Future<?> unusedLoops =
        eventLoops.shutdownGracefully(0, CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static boolean closeIfAddressChanged(PeerLink link, Optional<InetSocketAddress> address) {
    if (address.filter(link.address()::equals).isPresent()) {
      return false;
    }
    link.close();
    return true;
  }

  private Single<PeerMessage> startRequest(String vmId, PeerMessage message, long timeoutMillis) {
    Optional<PeerLink> link = link(vmId);
    if (link.isEmpty()) {
      return Single.error(unreachable(vmId));
    }
    long correlationId = lastCorrelationId.incrementAndGet();
    PeerMessage outgoing =
        withSender(message).setCorrelationId(correlationId).setAnswer(false).build();
    return Single.<PeerMessage>create(
            emitter -> {
              pendingRequests.put(correlationId, emitter);
              if (!link.get().send(outgoing)) {
                emitter.tryOnError(unreachable(vmId));
              }
            })
        .timeout(
            timeoutMillis,
            TimeUnit.MILLISECONDS,
            scheduler,
            Single.defer(() -> timedOut(vmId, link.get())))
        .doFinally(() -> pendingRequests.remove(correlationId));
  }

  private static Single<PeerMessage> timedOut(String vmId, PeerLink link) {
    link.onRequestTimeout();
    return Single.error(
        new FailureException(
            Failure.unknown(ErrorKind.DEADLINE_EXCEEDED, "no answer from VM " + vmId)));
  }

  private static FailureException unreachable(String vmId) {
    return new FailureException(
        Failure.notRun(ErrorKind.NOT_READY, "VM " + vmId + " cannot be reached"));
  }

  private Optional<PeerLink> link(String vmId) {
    return Optional.ofNullable(
        links.computeIfAbsent(
            vmId,
            id -> {
              InetSocketAddress address = addresses.get(id);
              return address == null ? null : newLink(address);
            }));
  }

  private PeerLink newLink(InetSocketAddress address) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
            .handler(pipeline());
    PeerLink link =
        new PeerLink(
            address, bootstrap, PeerLink::monotonicMillis, random, settings.maxQueuedBytes());
    bootstrap.attr(LINK, link);
    return link;
  }

  private Channel listen() {
    return new ServerBootstrap()
        .group(eventLoops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new PeerConnectionGuard(accepted, NettyPeerNetwork.this::onRefused))
                    .addLast(pipeline());
              }
            })
        .bind(settings.listenAddress())
        .syncUninterruptibly()
        .channel();
  }

  private WriteBufferWaterMark waterMark() {
    return new WriteBufferWaterMark(settings.maxQueuedBytes() / 2, settings.maxQueuedBytes());
  }

  private PeerPipeline pipeline() {
    return new PeerPipeline(settings.maxFrameBytes(), this::onMessage, this::onConnectionError);
  }

  private void onMessage(Channel channel, PeerMessage message) {
    PeerLink link = channel.attr(LINK).get();
    if (link != null) {
      link.onRead();
    }
    if (message.getAnswer()) {
      completeRequest(message);
      return;
    }
    PeerHandler handler = handlers.get(message.getBodyCase());
    if (handler == null) {
      Logger.debug(
          "dropped a peer message of type {}: no handler is registered", message.getBodyCase());
      return;
    }
    var unused =
        Maybe.defer(() -> handler.onMessage(message))
            .subscribe(
                answer -> sendAnswer(channel, message.getCorrelationId(), answer),
                error -> logError("handling a message of type " + message.getBodyCase(), error));
  }

  private void onConnectionError(Throwable error) {
    logError("reading from a peer, whose connection is closed", error);
  }

  private void onRefused(String reason) {
    logError("keeping a connection of a peer", new IllegalStateException(reason));
  }

  /** Logs an error, once a kind and interval, since a faulty peer may cause any number of them. */
  private void logError(String action, Throwable error) {
    errors
        .onError(action + " " + error.getClass().getName(), scheduler.now(TimeUnit.MILLISECONDS))
        .ifPresent(
            count ->
                Logger.warn(
                    "failed {} times at {}, last with {}", count, action, error.toString()));
  }

  private void completeRequest(PeerMessage answer) {
    SingleEmitter<PeerMessage> emitter = pendingRequests.get(answer.getCorrelationId());
    if (emitter != null) {
      emitter.onSuccess(answer);
    }
  }

  private void sendAnswer(Channel channel, long correlationId, PeerMessage answer) {
    if (correlationId != 0 && channel.isWritable()) {
      PeerMessage outgoing =
          withSender(answer).setCorrelationId(correlationId).setAnswer(true).build();
      Future<?> unused = channel.writeAndFlush(outgoing, channel.voidPromise());
    }
  }

  private PeerMessage.Builder withSender(PeerMessage message) {
    return message.toBuilder().setSenderVmId(settings.vmId());
  }
}
