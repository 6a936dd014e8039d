package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP server on a free port of the loopback address, with one thread per connection. */
final class LoopbackServer implements AutoCloseable {
  private static final int BACKLOG = 512;

  private final ServerSocket listener;
  private final Handler handler;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  interface Handler {
    /** Responds to a request; the connection is closed if it throws. */
    void handle(HttpIo.Message request, Exchange exchange) throws Exception;
  }

  /** The connection on which a request arrived. */
  record Exchange(Socket socket, OutputStream out) {
    void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
      Map<String, String> all = new LinkedHashMap<>(headers);
      all.put("Content-Length", Integer.toString(body.length));
      HttpIo.write(out, "HTTP/1.1 " + status + " " + HttpIo.reason(status), all, body);
    }

    /** Returns whether the peer has closed the connection; consumes no data of a sound peer. */
    boolean closedByPeer() {
      try {
        socket.setSoTimeout(1);
        return socket.getInputStream().read() < 0;
      } catch (java.net.SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        return true;
      }
    }
  }

  private LoopbackServer(ServerSocket listener, Handler handler) {
    this.listener = listener;
    this.handler = handler;
  }

  static LoopbackServer start(Handler handler) throws IOException {
    ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    LoopbackServer server = new LoopbackServer(listener, handler);
    startThread(server::accept);
    return server;
  }

  static void startThread(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return listener.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        startThread(() -> serve(socket));
      } catch (IOException e) {
        return; // The server was closed.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = HttpIo.buffered(socket.getInputStream());
      while (true) {
        socket.setSoTimeout(0);
        HttpIo.Message request = HttpIo.readRequest(in);
        handler.handle(request, new Exchange(socket, socket.getOutputStream()));
      }
    } catch (Exception e) {
      // The peer closed the connection, or the handler broke it off.
    } finally {
      connections.remove(socket);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
