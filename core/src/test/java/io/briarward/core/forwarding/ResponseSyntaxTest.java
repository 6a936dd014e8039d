package io.briarward.core.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.briarward.core.forwarding.ResponseSyntax.Fault;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseSyntaxTest {
  private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(ISO_8859_1));
  }

  private static ResponseSyntax requested() {
    ResponseSyntax syntax = ResponseSyntax.create();
    syntax.onRequest();
    return syntax;
  }

  private static Optional<Fault> fault(String response) {
    return requested().read(bytes(response));
  }

  /** Checks that the same fault is found in bytes that arrive one by one, at the end of a line. */
  private static void assertFault(Fault expected, String response) {
    assertWithMessage(response).that(fault(response)).hasValue(expected);
    ResponseSyntax syntax = requested();
    Optional<Fault> found = Optional.empty();
    for (int i = 0; i < response.length() && found.isEmpty(); i++) {
      found = syntax.read(bytes(response.substring(i, i + 1)));
    }
    assertWithMessage(response).that(found).hasValue(expected);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 20 X", "HTTP/1.1 +20 X",
        "HTTP/1.1 2000 X", "HTTP/1.1  200 X", "HTTP/1.1\t200 X", " HTTP/1.1 200 X",
            "HTTP/1.1 101 X",
        "HTTP/1.2 200 X", "HTTP/2 200 X", "http/1.1 200 X", "ICY 200 X", "HTTP/1.1 200X",
        "HTTP/1.1 200 \u0000", "HTTP/1.1 200 \u007f", "HTTP/1.1 200 \r", "HTTP/1.1 2\u00b20 X", ""
      })
  void statusLineThatIsNone(String line) {
    assertFault(Fault.STATUS_LINE, line + "\r\n\r\n");
    assertFault(Fault.STATUS_LINE, "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n" + line + "\r\n");
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200", "HTTP/1.0 599 ", "HTTP/1.1 100 \u00e9\t!"})
  void statusLineOfUnusualForm(String line) {
    assertThat(fault(line + "\r\n\r\n")).isEmpty();
  }

  @Test
  void nextResponseIsCheckedFromItsBeginning() {
    ResponseSyntax syntax = requested();
    assertThat(syntax.read(bytes(STATUS_LINE + "Content-Length: 0\r\n\r\n"))).isEmpty();
    syntax.onRequest();
    assertThat(syntax.read(bytes("Content-Length: 0\r\n"))).hasValue(Fault.STATUS_LINE);
  }

  /** Guards against a line without end that would be kept in memory. */
  @Test
  void lineWithoutEndIsFault() {
    ResponseSyntax syntax = requested();
    String piece = "x".repeat(1 << 10);
    Optional<Fault> found = Optional.empty();
    for (int i = 0; i < 100 && found.isEmpty(); i++) {
      found = syntax.read(bytes(piece));
    }
    assertThat(found).hasValue(Fault.STATUS_LINE);
  }
}
