package io.briarward.node.http;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class RequestFramingTest {
  private final RequestFraming framing = new RequestFraming();

  /** Consumes one part, and returns what is left. */
  private String consume(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    return text.substring(framing.consume(index -> bytes[index], 0, bytes.length));
  }

  @Test
  void headEndsWithItsEmptyLine() {
    assertThat(consume("\r\n\r\nGET / HTTP/1.1\r\na:\r\n\r\nrest")).isEqualTo("rest");
    assertThat(framing.emptyLines()).isEqualTo(2);
    assertThat(framing.headLines()).isEqualTo(3);
    assertThat(framing.headBegun()).isTrue();
  }

  @Test
  void headMayArriveByteByByteAndWithoutCarriageReturns() {
    for (String each : "GET / HTTP/1.1\na:".split("")) {
      assertThat(consume(each)).isEmpty();
    }
    assertThat(consume("\n\nrest")).isEqualTo("rest");
  }

  @Test
  void emptyLinesAloneAreNoHead() {
    assertThat(consume("\r\n".repeat(50))).isEmpty();
    assertThat(framing.emptyLines()).isEqualTo(50);
    assertThat(framing.headBegun()).isFalse();
    assertThat(framing.headBytes()).isEqualTo(0);
  }

  @Test
  void bodyOfKnownLengthEndsBeforeTheNextRequest() {
    framing.onFixedBody(3);
    assertThat(consume("ab")).isEmpty();
    assertThat(consume("cGET / HTTP/1.1")).isEqualTo("GET / HTTP/1.1");
  }

  @Test
  void chunkedBodyEndsAfterItsTrailers() {
    framing.onChunkedBody();
    assertThat(consume("3;a=b\r\n\n\n\n\r\n00A\r\n0123456789\r\n0\r\nt: 1\r\n\r\nGET"))
        .isEqualTo("GET");
    assertThat(framing.headLines()).isEqualTo(2);
  }

  /** Guards against trailers that are not counted. */
  @Test
  void linesOfTrailersAreCounted() {
    framing.onChunkedBody();
    assertThat(consume("0\r\n" + "a:\r\n".repeat(100))).isEmpty();
    assertThat(framing.headLines()).isEqualTo(100);
    assertThat(framing.headBytes()).isEqualTo(400);
  }

  @Test
  void bytesAfterAnEndThatTheDecoderDoesNotSeeBelongToTheBody() {
    framing.onFixedBody(0);
    assertThat(consume("GET / HTTP/1.1\r\n\r\n")).isEmpty();
    assertThat(framing.inBody()).isTrue();
  }

  @Test
  void nextRequestBeginsAnew() {
    assertThat(consume("GET / HTTP/1.1\r\n\r\n")).isEmpty();
    framing.onFixedBody(0);
    framing.onRequestEnd();
    assertThat(framing.headBytes()).isEqualTo(0);
    assertThat(framing.headBegun()).isFalse();
    assertThat(framing.inBody()).isFalse();
  }
}
