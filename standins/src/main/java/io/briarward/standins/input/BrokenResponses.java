package io.briarward.standins.input;

import com.google.common.collect.ImmutableList;
import java.util.stream.Stream;

/**
 * Bytes that servers in trouble send in place of HTTP/1 responses, one character a byte.
 *
 * <p>Each looks like a success with the body {@link #BODY} to a lenient reader.
 */
public final class BrokenResponses {
  /** The body of all responses. */
  public static final String BODY = "hello";

  private static final String LENGTH = "Content-Length: 5\r\n";

  private static final ImmutableList<String> STATUS_LINES =
      ImmutableList.of(
          "HTTP/1.1 000 Zero",
          "HTTP/1.1 099 Low",
          "HTTP/1.1 600 High",
          "HTTP/1.1 999 High",
          "HTTP/1.1 20 Short",
          "HTTP/1.1 2 Short",
          "HTTP/1.1 +20 Signed",
          "HTTP/1.1 -20 Signed",
          "HTTP/1.1 2000 Long",
          "HTTP/1.1 0200 Long",
          "HTTP/1.1 2x0 Letter",
          "HTTP/1.1 2\u00b20 Superscript",
          "HTTP/1.1 0xc8 Hex",
          "HTTP/1.1 2 00 Blank",
          "HTTP/1.1  200 Blanks",
          "HTTP/1.1\t200 Tab",
          "HTTP/1.1 200\tTab",
          "HTTP/1.1 200\u000bTab",
          " HTTP/1.1 200 Blank",
          "\r\nHTTP/1.1 200 Line",
          "HTTP/1.1 200OK",
          "HTTP/1.1 OK",
          "HTTP/1.1 ",
          "HTTP/1.1",
          "HTTP/1.1 200 O\0K",
          "HTTP/1.1 200 O\rK",
          "HTTP/1.1 200 O\u001bK",
          "HTTP/1.1 200 O\u007fK",
          "HTTP/1.1 101 Switching Protocols",
          "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: websocket",
          "HTTP/1.2 200 OK",
          "HTTP/1.10 200 OK",
          "HTTP/0.9 200 OK",
          "HTTP/2.0 200 OK",
          "HTTP/2 200 OK",
          "HTTP/11 200 OK",
          "HTTP/ 200 OK",
          "http/1.1 200 OK",
          "HTTPS/1.1 200 OK",
          "RTSP/1.0 200 OK",
          "ICY 200 OK",
          "200 OK");

  private BrokenResponses() {}

  /** Returns responses that begin with no valid status line, or with an unsolicited status. */
  public static ImmutableList<String> withBrokenStatusLine(String headers) {
    return all(STATUS_LINES.stream().map(line -> line + "\r\n" + headers + LENGTH + "\r\n" + BODY));
  }

  /** Returns broken responses of all kinds. */
  public static ImmutableList<String> all(String headers) {
    return withBrokenStatusLine(headers);
  }

  private static ImmutableList<String> all(Stream<String> responses) {
    return responses.collect(ImmutableList.toImmutableList());
  }
}
