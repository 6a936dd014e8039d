package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads and writes HTTP/1.1 messages on sockets. */
final class HttpIo {
  private HttpIo() {}

  /** A request or response with its whole body. */
  record Message(String startLine, List<Map.Entry<String, String>> headers, byte[] body) {
    Optional<String> header(String name) {
      return headers.stream()
          .filter(header -> header.getKey().equalsIgnoreCase(name))
          .map(Map.Entry::getValue)
          .findFirst();
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String uri() {
      return startLine.split(" ")[1];
    }

    String path() {
      int query = uri().indexOf('?');
      return query < 0 ? uri() : uri().substring(0, query);
    }

    Optional<String> parameter(String name) {
      int query = uri().indexOf('?');
      if (query < 0) {
        return Optional.empty();
      }
      for (String pair : uri().substring(query + 1).split("&")) {
        int equals = pair.indexOf('=');
        if (equals > 0 && pair.substring(0, equals).equals(name)) {
          return Optional.of(
              java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
      return Optional.empty();
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Reads a request; fails with {@link EOFException} if the connection ends before it. */
  static Message readRequest(InputStream in) throws IOException {
    return readMessage(in, false);
  }

  /** Reads a response; fails with {@link IOException} if it ends before it is complete. */
  static Message readResponse(InputStream in) throws IOException {
    return readMessage(in, true);
  }

  private static Message readMessage(InputStream in, boolean response) throws IOException {
    String startLine = readLine(in);
    List<Map.Entry<String, String>> headers = new ArrayList<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.add(Map.entry(line.substring(0, colon), line.substring(colon + 1).trim()));
    }
    Message head = new Message(startLine, headers, new byte[0]);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    Optional<String> length = head.header("Content-Length");
    if (head.header("Transfer-Encoding").filter("chunked"::equalsIgnoreCase).isPresent()) {
      readChunks(in, body);
    } else if (length.isPresent()) {
      copyExactly(in, body, Integer.parseInt(length.get()));
    } else if (response && head.status() != 204 && head.status() != 304) {
      in.transferTo(body);
    }
    return new Message(startLine, headers, body.toByteArray());
  }

  private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      int size = Integer.parseInt(readLine(in).trim(), 16);
      if (size == 0) {
        while (!readLine(in).isEmpty()) {
          // Trailers are not used.
        }
        return;
      }
      copyExactly(in, body, size);
      readLine(in);
    }
  }

  private static void copyExactly(InputStream in, ByteArrayOutputStream body, int count)
      throws IOException {
    byte[] bytes = in.readNBytes(count);
    body.writeBytes(bytes);
    if (bytes.length < count) {
      throw new EOFException("the body ended after " + bytes.length + " of " + count + " bytes");
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }

  static InputStream buffered(InputStream in) {
    return new BufferedInputStream(in, 64 << 10);
  }

  /** Writes a message whose body has a length. */
  static void write(OutputStream out, String startLine, Map<String, String> headers, byte[] body)
      throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head(startLine, headers));
    bytes.writeBytes(body);
    // One write, so that the message does not wait for an acknowledgement of its first part.
    out.write(bytes.toByteArray());
    out.flush();
  }

  static byte[] head(String startLine, Map<String, String> headers) {
    StringBuilder head = new StringBuilder(startLine).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    return head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8);
  }

  static String reason(int status) {
    return status < 300 ? "OK" : "Status";
  }
}
