package io.briarward.core.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Drives a writer through any order of heads, chunks, deadlines, upstream failures and disconnects,
 * and reads what was sent as a caller does.
 *
 * <p>Guards against a failure document that is sent under the length of another response: the
 * caller reads its rest as the response to the next request on the connection.
 */
class ResponseWriterProperties {
  private static final String FAILURE = "HTTP/1.1 504 X\r\nContent-Length: 8\r\n\r\nDEADLINE";

  private enum Step {
    HEAD_OF_4,
    HEAD_OF_0,
    HEAD_OF_UNKNOWN_LENGTH,
    HEAD_WITHOUT_BODY,
    CHUNK_OF_2,
    CHUNK_OF_3,
    LAST_OF_0,
    LAST_OF_2,
    LAST_OF_6,
    DEADLINE,
    DISCONNECT
  }

  /** A connection that records the bytes that were sent. */
  private static final class Connection implements ResponseWriter.Sink<String> {
    final StringBuilder sent = new StringBuilder();
    boolean chunked;
    boolean closed;
    int responses;

    @Override
    public void sendHead(ResponseHead head) {
      checkOpen();
      chunked = head.isChunked();
      sent.append("HTTP/1.1 ").append(head.status()).append(" X\r\n");
      if (chunked) {
        sent.append("Transfer-Encoding: chunked\r\n");
      }
      head.contentLength()
          .ifPresent(length -> sent.append("Content-Length: ").append(length).append("\r\n"));
      sent.append("\r\n");
    }

    @Override
    public void sendChunk(String chunk) {
      checkOpen();
      sent.append(chunked ? chunk.length() + "\r\n" + chunk + "\r\n" : chunk);
    }

    @Override
    public void sendLast(String chunk) {
      if (!chunk.isEmpty()) {
        sendChunk(chunk);
      }
      checkOpen();
      sent.append(chunked ? "0\r\n\r\n" : "");
      responses++;
    }

    @Override
    public void close() {
      checkOpen();
      closed = true;
    }

    void sendFailure() {
      checkOpen();
      sent.append(FAILURE);
      responses++;
    }

    private void checkOpen() {
      assertWithMessage("sent after the end: %s", sent).that(closed || responses > 0).isFalse();
    }
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    return Arbitraries.of(Step.class).list().ofMinSize(1).ofMaxSize(8);
  }

  @Property(seed = "11", tries = 20_000)
  void responseIsWholeOrBrokenOffInAnyOrderOfEvents(@ForAll("steps") List<Step> steps) {
    Connection connection = new Connection();
    ResponseWriter<String> writer = ResponseWriter.create(connection);
    boolean headSet = false;
    for (Step step : steps) {
      headSet |= step.name().startsWith("HEAD");
      boolean needsHead = step.name().startsWith("CHUNK") || step.name().startsWith("LAST");
      if (!needsHead || headSet) {
        apply(step, writer, connection);
      }
    }
    String sent = connection.sent.toString();
    if (writer.state() == ResponseWriter.State.OPEN) {
      assertThat(sent).isEmpty();
    } else if (writer.state() == ResponseWriter.State.WHOLE) {
      assertWithMessage("responses in %s", sent).that(wholeResponses(sent)).isEqualTo(1);
    } else if (writer.state() == ResponseWriter.State.BROKEN) {
      // All announced bytes may have been sent before the end; nothing may follow them.
      assertWithMessage("responses in %s", sent).that(wholeResponses(sent)).isAtMost(1);
    }
  }

  private static void apply(Step step, ResponseWriter<String> writer, Connection connection) {
    switch (step) {
      case HEAD_OF_4 -> writer.setHead(head(OptionalLong.of(4), true));
      case HEAD_OF_0 -> writer.setHead(head(OptionalLong.of(0), true));
      case HEAD_OF_UNKNOWN_LENGTH -> writer.setHead(head(OptionalLong.empty(), true));
      case HEAD_WITHOUT_BODY -> writer.setHead(head(OptionalLong.empty(), false));
      case CHUNK_OF_2 -> writer.write("ab", 2);
      case CHUNK_OF_3 -> writer.write("abc", 3);
      case LAST_OF_0 -> writer.end("", 0);
      case LAST_OF_2 -> writer.end("ab", 2);
      case LAST_OF_6 -> writer.end("abcdef", 6);
      case DEADLINE -> writer.replace(connection::sendFailure);
      case DISCONNECT -> writer.onClosed();
      default -> throw new AssertionError(step);
    }
  }

  private static ResponseHead head(OptionalLong length, boolean hasBody) {
    int status = hasBody ? 200 : 204;
    return new ResponseHead(status, ImmutableList.of(), length, hasBody);
  }

  /**
   * Returns the number of whole responses that a caller reads; -1 if the last one is incomplete, 0
   * if nothing was sent.
   */
  private static int wholeResponses(String sent) {
    int count = 0;
    int at = 0;
    while (at < sent.length()) {
      int bodyAt = sent.indexOf("\r\n\r\n", at) + 4;
      String head = sent.substring(at, bodyAt);
      int end;
      if (head.contains("chunked")) {
        int last = sent.indexOf("0\r\n\r\n", bodyAt);
        end = last < 0 ? Integer.MAX_VALUE : last + 5;
      } else if (head.contains("Content-Length: ")) {
        int lengthAt = head.indexOf("Content-Length: ") + "Content-Length: ".length();
        end = bodyAt + Integer.parseInt(head.substring(lengthAt, head.indexOf('\r', lengthAt)));
      } else {
        end = bodyAt;
      }
      if (end > sent.length()) {
        return -1;
      }
      count++;
      at = end;
    }
    return count;
  }

  @Example
  void deadlineBeforeTheFirstChunkReplacesTheHead() {
    Connection connection = new Connection();
    ResponseWriter<String> writer = ResponseWriter.create(connection);
    writer.setHead(head(OptionalLong.of(4), true));
    assertThat(writer.replace(connection::sendFailure)).isTrue();
    assertThat(writer.end("abcd", 4)).isFalse();
    assertThat(connection.sent.toString()).isEqualTo(FAILURE);
  }

  @Example
  void deadlineAfterTheFirstChunkClosesTheConnection() {
    Connection connection = new Connection();
    ResponseWriter<String> writer = ResponseWriter.create(connection);
    writer.setHead(head(OptionalLong.of(4), true));
    writer.write("ab", 2);
    assertThat(writer.replace(connection::sendFailure)).isFalse();
    assertThat(connection.closed).isTrue();
  }

  @Example
  void headOfAnEarlierAttemptIsReplaced() {
    Connection connection = new Connection();
    ResponseWriter<String> writer = ResponseWriter.create(connection);
    writer.setHead(head(OptionalLong.of(4), true));
    writer.setHead(head(OptionalLong.of(2), true));
    assertThat(writer.end("ab", 2)).isTrue();
    assertThat(wholeResponses(connection.sent.toString())).isEqualTo(1);
  }
}
