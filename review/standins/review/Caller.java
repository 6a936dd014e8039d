package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends requests to one node, each on a new connection. */
final class Caller {
  private static final int TIMEOUT_MILLIS = 15_000;

  private final int port;

  Caller(int port) {
    this.port = port;
  }

  /**
   * Sends a request and returns the response.
   *
   * @param line the method and the path
   * @param headers further header lines, each with CR and LF
   * @throws IOException if the response is not complete
   */
  HttpIo.Message send(String line, String host, String headers, byte[] body) throws IOException {
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      write(socket, line, host, headers, body);
      InputStream in = HttpIo.buffered(socket.getInputStream());
      return HttpIo.readResponse(in);
    }
  }

  static void write(Socket socket, String line, String host, String headers, byte[] body)
      throws IOException {
    String head =
        line
            + " HTTP/1.1\r\nHost: "
            + host
            + "\r\n"
            + headers
            + "Content-Length: "
            + body.length
            + "\r\n\r\n";
    byte[] headBytes = head.getBytes(StandardCharsets.UTF_8);
    byte[] all = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, all, 0, headBytes.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    socket.getOutputStream().write(all);
    socket.getOutputStream().flush();
  }
}
