package io.briarward.standins.input;

import static com.google.common.base.Preconditions.checkArgument;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Sends prepared bytes on many connections to a port on loopback, and keeps the connections open.
 *
 * <p>Each connection sends the pieces of its script as fast as the other side takes them, reads and
 * drops what it receives, and is kept open after the last piece until {@link #close}. Runs on the
 * calling thread.
 */
public final class ClientLoad implements AutoCloseable {
  private static final int READ_BYTES = 16 << 10;
  private static final long PAUSE_MILLIS = 5;

  private final InetSocketAddress address;
  private final List<Client> clients = new ArrayList<>();
  private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BYTES);

  /** The bytes that a connection sends, piece by piece; a script without end is allowed. */
  @FunctionalInterface
  public interface Script extends Supplier<Iterator<byte[]>> {}

  /** What happens while a load runs. */
  @FunctionalInterface
  public interface Observer {
    /** Called again and again, on the calling thread. */
    void onRound() throws Exception;
  }

  private ClientLoad(InetSocketAddress address) {
    this.address = address;
  }

  /** Returns a load without connections. */
  public static ClientLoad on(int port) {
    return new ClientLoad(new InetSocketAddress("127.0.0.1", port));
  }

  /**
   * Adds connections.
   *
   * @param reconnects whether a connection that the other side closes is replaced by a new one,
   *     which begins the script anew
   */
  public ClientLoad add(int connections, boolean reconnects, Script script) {
    checkArgument(connections > 0, "connections is %s, expected > 0", connections);
    for (int i = 0; i < connections; i++) {
      clients.add(new Client(script, reconnects));
    }
    return this;
  }

  /** Sends until the given time is over, or until nothing is left to send. */
  public void run(long maxMillis, Observer observer) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
    boolean busy = true;
    while (busy && System.nanoTime() - endNanos < 0) {
      busy = false;
      boolean progress = false;
      for (Client client : clients) {
        progress |= client.step();
        busy |= client.hasMore();
      }
      observer.onRound();
      if (!progress) {
        Thread.sleep(PAUSE_MILLIS);
      }
    }
  }

  @Override
  public void close() {
    clients.forEach(Client::disconnect);
  }

  private final class Client {
    private final Script script;
    private final boolean reconnects;
    private SocketChannel channel;
    private Iterator<byte[]> pieces = List.<byte[]>of().iterator();
    private ByteBuffer current = ByteBuffer.allocate(0);
    private boolean ended;

    Client(Script script, boolean reconnects) {
      this.script = script;
      this.reconnects = reconnects;
    }

    boolean hasMore() {
      return !ended && (channel == null || current.hasRemaining() || pieces.hasNext());
    }

    /** Returns whether bytes were sent. */
    boolean step() {
      if (ended) {
        return false;
      }
      try {
        return exchange();
      } catch (IOException e) {
        disconnect();
        ended = !reconnects;
        return false;
      }
    }

    private boolean exchange() throws IOException {
      if (channel == null) {
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(address);
        pieces = script.get();
        current = ByteBuffer.allocate(0);
      }
      if (!channel.finishConnect()) {
        return false;
      }
      readBuffer.clear();
      if (channel.read(readBuffer) < 0) {
        throw new IOException("closed by the other side");
      }
      if (!current.hasRemaining()) {
        if (!pieces.hasNext()) {
          return false;
        }
        current = ByteBuffer.wrap(pieces.next());
      }
      return channel.write(current) > 0;
    }

    void disconnect() {
      if (channel != null) {
        try {
          channel.close();
        } catch (IOException e) {
          // A connection that cannot be closed has ended.
        }
        channel = null;
      }
    }
  }

  /** Returns the bytes of a text, one for each character. */
  public static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
