package io.briarward.core.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.IntPredicate;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Drives a writer through any order of attempts, chunks of the latest and of earlier attempts,
 * deadlines and disconnects, and reads what was sent as a caller does.
 *
 * <p>Guards against a failure document that is sent under the length of another response, whose
 * rest the caller reads as the response to the next request on the connection, and against a
 * response that is joined from those of several attempts.
 */
class ResponseWriterProperties {
  private static final String FAILURE = "HTTP/1.1 504 X\r\nContent-Length: 8\r\n\r\nDEADLINE";

  private static final int FIRST_FILLER = 0x1000; // A character that occurs in no head.
  private static final IntPredicate FILLERS = character -> character >= FIRST_FILLER;

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
    EARLIER_CHUNK_OF_2,
    EARLIER_LAST_OF_2,
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
    return Arbitraries.of(Step.class).list().ofMinSize(1).ofMaxSize(9);
  }

  @Property(seed = "11", tries = 20_000)
  void responseIsWholeOrBrokenOffInAnyOrderOfEvents(@ForAll("steps") List<Step> steps) {
    Connection connection = new Connection();
    ResponseWriter<String> writer = ResponseWriter.create(connection);
    List<ResponseWriter<String>.Attempt> attempts = new ArrayList<>();
    for (Step step : steps) {
      apply(step, writer, attempts, connection);
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
    assertWithMessage("attempts in %s", sent)
        .that(sent.chars().filter(FILLERS).distinct().count())
        .isAtMost(1);
  }

  private static void apply(
      Step step,
      ResponseWriter<String> writer,
      List<ResponseWriter<String>.Attempt> attempts,
      Connection connection) {
    int latest = attempts.size() - 1;
    switch (step) {
      case HEAD_OF_4 -> attempts.add(writer.begin(head(OptionalLong.of(4), true)));
      case HEAD_OF_0 -> attempts.add(writer.begin(head(OptionalLong.of(0), true)));
      case HEAD_OF_UNKNOWN_LENGTH -> attempts.add(writer.begin(head(OptionalLong.empty(), true)));
      case HEAD_WITHOUT_BODY -> attempts.add(writer.begin(head(OptionalLong.empty(), false)));
      case CHUNK_OF_2 -> write(attempts, latest, 2);
      case CHUNK_OF_3 -> write(attempts, latest, 3);
      case LAST_OF_0 -> end(attempts, latest, 0);
      case LAST_OF_2 -> end(attempts, latest, 2);
      case LAST_OF_6 -> end(attempts, latest, 6);
      case EARLIER_CHUNK_OF_2 -> write(attempts, latest - 1, 2);
      case EARLIER_LAST_OF_2 -> end(attempts, latest - 1, 2);
      case DEADLINE -> writer.replace(connection::sendFailure);
      case DISCONNECT -> writer.onClosed();
      default -> throw new AssertionError(step);
    }
  }

  private static void write(List<ResponseWriter<String>.Attempt> attempts, int index, int bytes) {
    if (index >= 0) {
      attempts.get(index).write(body(index, bytes), bytes);
    }
  }

  private static void end(List<ResponseWriter<String>.Attempt> attempts, int index, int bytes) {
    if (index >= 0) {
      attempts.get(index).end(body(index, bytes), bytes);
    }
  }

  /** Returns bytes that show of which attempt they are. */
  private static String body(int attempt, int bytes) {
    return Character.toString(FIRST_FILLER + attempt).repeat(bytes);
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
    ResponseWriter<String>.Attempt attempt = writer.begin(head(OptionalLong.of(4), true));
    assertThat(writer.replace(connection::sendFailure)).isTrue();
    assertThat(attempt.end("abcd", 4)).isFalse();
    assertThat(connection.sent.toString()).isEqualTo(FAILURE);
  }

  @Example
  void deadlineAfterTheFirstChunkClosesTheConnection() {
    Connection connection = new Connection();
    ResponseWriter<String> writer = ResponseWriter.create(connection);
    writer.begin(head(OptionalLong.of(4), true)).write("ab", 2);
    assertThat(writer.replace(connection::sendFailure)).isFalse();
    assertThat(connection.closed).isTrue();
  }

  @Example
  void headOfAnEarlierAttemptIsReplaced() {
    Connection connection = new Connection();
    ResponseWriter<String> writer = ResponseWriter.create(connection);
    ResponseWriter<String>.Attempt earlier = writer.begin(head(OptionalLong.of(4), true));
    ResponseWriter<String>.Attempt later = writer.begin(head(OptionalLong.of(2), true));
    assertThat(earlier.write("cd", 2)).isFalse();
    assertThat(later.end("ab", 2)).isTrue();
    assertThat(wholeResponses(connection.sent.toString())).isEqualTo(1);
  }

  @Example
  void attemptAfterTheFirstChunkOfAnEarlierOneClosesTheConnection() {
    Connection connection = new Connection();
    ResponseWriter<String> writer = ResponseWriter.create(connection);
    writer.begin(head(OptionalLong.empty(), true)).write("ab", 2);
    ResponseWriter<String>.Attempt later = writer.begin(head(OptionalLong.empty(), true));
    assertThat(later.end("cd", 2)).isFalse();
    assertThat(connection.closed).isTrue();
    assertThat(connection.sent.toString()).doesNotContain("cd");
  }
}
