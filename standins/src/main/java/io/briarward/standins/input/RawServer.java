package io.briarward.standins.input;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A server on loopback that sends the bytes of a script in response to each request, and ends the
 * connection as the script says.
 *
 * <p>Each connection has a blocking socket and a thread. Thread-safe.
 */
public final class RawServer implements AutoCloseable {
  /** Small, so that a sender of a long body soon waits for a server that does not read it. */
  private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

  private static final Pattern LENGTH =
      Pattern.compile("content-length: ([0-9]+)", Pattern.CASE_INSENSITIVE);

  private final ServerSocket listener;
  private final IntFunction<Script> scripts;
  private final AtomicInteger requests = new AtomicInteger();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /** What happens to a connection after a response. */
  public enum Ending {
    /** It stays open for the next request. */
    KEEP,
    /** The server ends its side of the connection, and reads until the client does. */
    CLOSE,
    /** The server resets the connection. */
    RESET
  }

  /**
   * What to do for a request.
   *
   * @param response the bytes to send, one character a byte
   * @param readsBody whether the body of the request is read before the response is sent
   * @param delayMillis the time between the response and the end of the connection, in milliseconds
   * @param ending what happens to the connection then
   */
  public record Script(String response, boolean readsBody, long delayMillis, Ending ending) {
    /** Returns a script that reads the request, sends a response and keeps the connection. */
    public static Script respond(String response) {
      return new Script(response, true, 0, Ending.KEEP);
    }

    /** Returns a script that reads the request, sends a response and ends the connection. */
    public static Script respond(String response, long delayMillis, Ending ending) {
      return new Script(response, true, delayMillis, ending);
    }
  }

  private RawServer(ServerSocket listener, IntFunction<Script> scripts) {
    this.listener = listener;
    this.scripts = scripts;
  }

  /**
   * Starts a server on a free port.
   *
   * @param scripts returns the script for a request, given the number of requests before
   */
  public static RawServer start(IntFunction<Script> scripts) throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    RawServer server = new RawServer(listener, scripts);
    startThread(server::accept);
    return server;
  }

  private static void startThread(Runnable action) {
    Thread thread = new Thread(action, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the port on loopback. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Returns the number of requests whose head was received. */
  public int requests() {
    return requests.get();
  }

  /** Returns the number of connections that were accepted. */
  public int connections() {
    return sockets.size();
  }

  /** Returns the number of connections that neither side has ended. */
  public long openConnections() {
    return sockets.stream().filter(socket -> !socket.isClosed()).count();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        startThread(() -> serve(socket));
      } catch (IOException e) {
        return; // The server was closed.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream input = socket.getInputStream();
      Ending ending = Ending.KEEP;
      while (ending == Ending.KEEP) {
        String head = readHead(input);
        if (head.isEmpty()) {
          return;
        }
        Script script = scripts.apply(requests.getAndIncrement());
        if (script.readsBody()) {
          Matcher length = LENGTH.matcher(head);
          input.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        }
        socket.getOutputStream().write(script.response().getBytes(ISO_8859_1));
        Thread.sleep(script.delayMillis());
        ending = script.ending();
      }
      if (ending == Ending.CLOSE) {
        socket.shutdownOutput();
        while (input.read(new byte[1 << 16]) >= 0) {
          // Unread bytes would turn the end of the connection into a reset.
        }
      } else {
        socket.setSoLinger(true, 0);
      }
    } catch (IOException e) {
      // The client has ended the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns a head, or nothing if the client has ended the connection before the end of one. */
  private static String readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n", Math.max(0, head.length() - 4)) < 0) {
      int next = input.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.toString();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
