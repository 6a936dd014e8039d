package io.briarward.standins.input;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Bytes that servers in trouble send in place of HTTP/1 responses, one character a byte.
 *
 * <p>Each looks like a success with the body {@link #BODY} to a lenient reader.
 */
public final class BrokenResponses {
  /** The body of all responses. */
  public static final String BODY = "hello";

  private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
  private static final String LENGTH = "Content-Length: 5\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
  private static final String CHUNKS = "5\r\nhello\r\n0\r\n";

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
          "HTTP/1.1 2²0 Superscript",
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

  private static final ImmutableList<String> FIELDS =
      ImmutableList.of(
          "X A: 1",
          "X\tA: 1",
          "X\0A: 1",
          "X\u0001A: 1",
          "X\u000bA: 1",
          "X\u001fA: 1",
          "X\u007fA: 1",
          "X\u0080A: 1",
          "X\u0085A: 1",
          "X\u00a0A: 1",
          "XéA: 1",
          "XÿA: 1",
          "X(A: 1",
          "X,A: 1",
          "X/A: 1",
          "X@A: 1",
          "X\"A: 1",
          ": 1",
          "XA",
          "XA : 1",
          "XA\t: 1",
          "XA\u000b: 1",
          " XA: 1",
          "\tXA: 1",
          "\0XA: 1",
          "X\rA: 1",
          "\rXA: 1",
          "XA\r: 1",
          "XA: 1\r2",
          "XA: 1\r",
          "XA: 1\nXB: 2",
          "XA: 1\0",
          "XA: \u00012",
          "XA: 1\u000b2",
          "XA: 1\u001b2",
          "XA: 1\u007f2",
          "Content-Length : 5",
          "Transfer-Encoding\t: chunked");

  private static final ImmutableList<String> LENGTHS =
      ImmutableList.of(
          "Content-Length: +5",
          "Content-Length: -5",
          "Content-Length: 5, 5",
          "Content-Length: 5,6",
          "Content-Length: 0x5",
          "Content-Length: 5 5",
          "Content-Length: 5.0",
          "Content-Length: 5;",
          "Content-Length: ²",
          "Content-Length:",
          "Content-Length: 99999999999999999999",
          "Content-Length: 18446744073709551621",
          "Content-Length: 5\r\nContent-Length: 6",
          "Content-Length: 6\r\nContent-Length: 5",
          "Content-Length: 5\r\ncontent-length: 5",
          "Content-Length: 5\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nContent-Length: 5",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked, chunked",
          "Transfer-Encoding: gzip, chunked",
          "Transfer-Encoding: chunked, identity",
          "Transfer-Encoding: identity",
          "Transfer-Encoding: gzip",
          "Transfer-Encoding: xchunked",
          "Transfer-Encoding: \"chunked\"",
          "Transfer-Encoding:");

  private static final ImmutableList<String> CHUNKED_BODIES =
      ImmutableList.of(
          "5 5\r\nhello\r\n0\r\n\r\n",
          " 5\r\nhello\r\n0\r\n\r\n",
          "+5\r\nhello\r\n0\r\n\r\n",
          "-5\r\nhello\r\n0\r\n\r\n",
          "0x5\r\nhello\r\n0\r\n\r\n",
          "5x\r\nhello\r\n0\r\n\r\n",
          "5,5\r\nhello\r\n0\r\n\r\n",
          "5\u000b\r\nhello\r\n0\r\n\r\n",
          "5\0\r\nhello\r\n0\r\n\r\n",
          "g\r\nhello\r\n0\r\n\r\n",
          "100000005\r\nhello\r\n0\r\n\r\n",
          "10000000000000005\r\nhello\r\n0\r\n\r\n",
          "5;a=\0\r\nhello\r\n0\r\n\r\n",
          "5;a=\r1\r\nhello\r\n0\r\n\r\n",
          "5\nhello\r\n0\r\n\r\n",
          "5\r\nhello\n0\r\n\r\n",
          "5\r\nhelloxy0\r\n\r\n",
          "5\r\nhello0\r\n\r\n",
          "\r\nhello\r\n0\r\n\r\n",
          "5\r\nhello\r\n\r\n",
          "5\r\nhello\r\n0 0\r\n\r\n",
          "5\r\nhello\r\n0\n\r\n");

  private BrokenResponses() {}

  /** Returns responses that begin with no valid status line, or with an unsolicited status. */
  public static ImmutableList<String> withBrokenStatusLine(String headers) {
    return all(STATUS_LINES.stream().map(line -> line + "\r\n" + headers + LENGTH + "\r\n" + BODY));
  }

  /** Returns responses with a line that is no field, as the first or a later one of the head. */
  public static ImmutableList<String> withBrokenField(String headers) {
    return all(
        FIELDS.stream()
            .flatMap(
                field ->
                    Stream.of(
                        STATUS_LINE + field + "\r\n" + headers + LENGTH + "\r\n" + BODY,
                        STATUS_LINE + headers + LENGTH + field + "\r\n\r\n" + BODY)));
  }

  /** Returns responses with a line that is no field among the trailers. */
  public static ImmutableList<String> withBrokenTrailer(String headers) {
    String head = STATUS_LINE + headers + CHUNKED + "\r\n" + CHUNKS;
    return all(
        FIELDS.stream()
            .flatMap(
                field ->
                    Stream.of(head + field + "\r\n\r\n", head + "XB: 1\r\n" + field + "\r\n\r\n")));
  }

  /** Returns responses whose head does not tell the length of the body in one valid way. */
  public static ImmutableList<String> withBrokenLength(String headers) {
    return all(
        LENGTHS.stream()
            .map(
                fields ->
                    STATUS_LINE
                        + headers
                        + fields
                        + "\r\n\r\n"
                        + (fields.contains("chunked") ? CHUNKS + "\r\n" : BODY)));
  }

  /** Returns responses whose chunks are not delimited as they must be. */
  public static ImmutableList<String> withBrokenChunk(String headers) {
    return all(
        CHUNKED_BODIES.stream().map(body -> STATUS_LINE + headers + CHUNKED + "\r\n" + body));
  }

  /** Returns broken responses of all kinds. */
  public static ImmutableList<String> all(String headers) {
    return all(
        Stream.of(
                withBrokenStatusLine(headers),
                withBrokenField(headers),
                withBrokenTrailer(headers),
                withBrokenLength(headers),
                withBrokenChunk(headers))
            .flatMap(List::stream));
  }

  private static ImmutableList<String> all(Stream<String> responses) {
    return responses.collect(ImmutableList.toImmutableList());
  }
}
