package io.briarward.core.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.collect.ImmutableList;
import io.briarward.core.forwarding.ResponseSyntax.Fault;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseSyntaxTest {
  private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n";

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(ISO_8859_1));
  }

  private static ResponseSyntax requested(String method) {
    ResponseSyntax syntax = ResponseSyntax.create();
    syntax.onRequest(method);
    return syntax;
  }

  private static Optional<Fault> fault(String response) {
    return requested("GET").read(bytes(response));
  }

  /** Checks that the same fault is found in bytes that arrive one by one, at the end of a line. */
  private static void assertFault(Fault expected, String response) {
    assertWithMessage(response).that(fault(response)).hasValue(expected);
    ResponseSyntax syntax = requested("GET");
    Optional<Fault> found = Optional.empty();
    for (int i = 0; i < response.length() && found.isEmpty(); i++) {
      found = syntax.read(bytes(response.substring(i, i + 1)));
    }
    assertWithMessage(response).that(found).hasValue(expected);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 600 X",
        "HTTP/1.1 20 X",
        "HTTP/1.1 +20 X",
        "HTTP/1.1 2000 X",
        "HTTP/1.1  200 X",
        "HTTP/1.1\t200 X",
        " HTTP/1.1 200 X",
        "HTTP/1.1 101 X",
        "HTTP/1.2 200 X",
        "HTTP/2 200 X",
        "http/1.1 200 X",
        "ICY 200 X",
        "HTTP/1.1 200X",
        "HTTP/1.1 200 \u0000",
        "HTTP/1.1 200 \u007f",
        "HTTP/1.1 200 \r",
        "HTTP/1.1 2²0 X",
        ""
      })
  void statusLineThatIsNone(String line) {
    assertFault(Fault.STATUS_LINE, line + "\r\n\r\n");
    assertFault(Fault.STATUS_LINE, "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n" + line + "\r\n");
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200", "HTTP/1.0 599 ", "HTTP/1.1 100 é\t!"})
  void statusLineOfUnusualForm(String line) {
    assertThat(fault(line + "\r\n\r\n")).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X A: 1", "X\tA: 1", "X\u0000A: 1", "X\u007fA: 1", "X\u0080A: 1", "XÿA: 1", ": 1", "X",
        "X : 1", " X: 1", "\tX: 1", "X\rA: 1", "X: 1\r2", "X: \u00012", "X: 1\u007f", "X(: 1"
      })
  void lineThatIsNoField(String line) {
    assertFault(Fault.FIELD, STATUS_LINE + line + "\r\n");
    assertFault(Fault.FIELD, STATUS_LINE + "A: 1\r\n" + line + "\r\n");
    assertFault(Fault.FIELD, CHUNKED + "0\r\n" + line + "\r\n");
    assertFault(Fault.FIELD, "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n");
  }

  @Test
  void lineThatEndsWithoutCarriageReturn() {
    assertFault(Fault.STATUS_LINE, "HTTP/1.1 200 OK\nX: 1\r\n");
    assertFault(Fault.FIELD, STATUS_LINE + "X: 1\nY: 1\r\n");
    assertFault(Fault.FIELD, STATUS_LINE + "\n");
    assertFault(Fault.CHUNK, CHUNKED + "1\nx\r\n");
    assertFault(Fault.CHUNK, CHUNKED + "1\r\nx\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: +1",
        "Content-Length: -1",
        "Content-Length: 1, 1",
        "Content-Length: 0x1",
        "Content-Length: 1 1",
        "Content-Length:",
        "content-length: 9999999999999999999",
        "Content-Length: 1\r\nContent-Length: 2",
        "Content-Length: 1\r\nContent-Length: 1",
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 1",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding:",
        "Transfer-Encoding: chunked\r\ntransfer-encoding: chunked"
      })
  void lengthThatIsNotGivenInOneValidWay(String fields) {
    assertFault(Fault.LENGTH, STATUS_LINE + fields + "\r\n\r\n");
  }

  @Test
  void version10HasNoChunks() {
    assertFault(Fault.LENGTH, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "5 5",
        " 5",
        "+5",
        "-5",
        "0x5",
        "g",
        "",
        "5\u0000",
        "5;\u0000",
        "5;a\rb",
        "100000005",
        "80000000",
        "10000000000000005",
        ";5"
      })
  void chunkSizeThatIsNone(String line) {
    assertFault(Fault.CHUNK, CHUNKED + line + "\r\n");
    assertFault(Fault.CHUNK, CHUNKED + "1\r\nx\r\n" + line + "\r\n");
  }

  @Test
  void chunkThatIsNotFollowedByTheEndOfLine() {
    assertFault(Fault.CHUNK, CHUNKED + "1\r\nxy\r\n");
    assertFault(Fault.CHUNK, CHUNKED + "2\r\nx\r\n0\r\n\r\n");
  }

  /** The bytes after each response are none, so that a fault shows where it ends. */
  @Test
  void bytesAfterTheEndAreNotLookedAt() {
    ImmutableList<String> responses =
        ImmutableList.of(
            STATUS_LINE + "Content-Length: 2\r\n\r\nab",
            STATUS_LINE + "Content-Length:\t02 \r\n\r\nab",
            STATUS_LINE + "Content-Length: 0\r\n\r\n",
            STATUS_LINE + "\r\n",
            "HTTP/1.1 204 None\r\n\r\n",
            "HTTP/1.1 304 None\r\nContent-Length: 2\r\n\r\n",
            CHUNKED + "A;x=\"y\"\r\n0123456789\r\n01 \r\n\n\r\n0\r\nX: 1\r\nY:\r\n\r\n");
    for (String response : responses) {
      for (String more : List.of("", "\0\n\0\n", "x")) {
        assertWithMessage(response).that(fault(response + more)).isEmpty();
      }
    }
    assertThat(requested("HEAD").read(bytes(CHUNKED + "\0\n"))).isEmpty();
  }

  @Test
  void onlyBodyOfUnknownLengthEndsWithTheConnection() {
    ImmutableList<String> others =
        ImmutableList.of(
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 204 None\r\n\r\n",
            CHUNKED,
            STATUS_LINE + "Content-Length: 2\r\n\r\n");
    for (String response : others) {
      ResponseSyntax syntax = requested("GET");
      assertThat(syntax.read(bytes(response))).isEmpty();
      assertWithMessage(response).that(syntax.endsWithConnection()).isFalse();
    }
    ResponseSyntax syntax = requested("GET");
    assertThat(syntax.read(bytes(STATUS_LINE + "\r\n"))).isEmpty();
    assertThat(syntax.endsWithConnection()).isTrue();
  }

  @Test
  void nextResponseIsCheckedFromItsBeginning() {
    ResponseSyntax syntax = requested("GET");
    assertThat(syntax.read(bytes(STATUS_LINE + "Content-Length: 0\r\n\r\n"))).isEmpty();
    syntax.onRequest("GET");
    assertThat(syntax.read(bytes("Content-Length: 0\r\n"))).hasValue(Fault.STATUS_LINE);
  }

  /** Guards against a line without end that would be kept in memory. */
  @Test
  void lineWithoutEndIsFault() {
    ResponseSyntax syntax = requested("GET");
    String piece = "x".repeat(1 << 10);
    Optional<Fault> found = Optional.empty();
    for (int i = 0; i < 100 && found.isEmpty(); i++) {
      found = syntax.read(bytes(piece));
    }
    assertThat(found).hasValue(Fault.STATUS_LINE);
  }
}
