package io.briarward.core.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides what may be sent on a connection in response to one request.
 *
 * <p>A response is either sent whole or broken off by closing the connection, and nothing is sent
 * after either. The head is held back until the first bytes of the body, so until then another
 * response, such as a failure, can take its place. A body that is longer or shorter than its head
 * announced is broken off, since a caller would read the rest as the next response.
 *
 * <p>A relayed response is the response of one attempt. The bytes of another attempt never follow:
 * an {@link Attempt} sends nothing once a later one has begun, and one that begins after the head
 * of an earlier one was sent breaks the response off. Not thread-safe.
 *
 * @param <C> the type of a chunk of a body
 */
public final class ResponseWriter<C> {
  private final Sink<C> sink;
  private Optional<Attempt> current = Optional.empty();
  private State state = State.OPEN;

  /** How much of the response was sent. */
  public enum State {
    /** Nothing was sent. */
    OPEN,
    /** The head was sent, and the body is being sent. */
    RELAYING,
    /** The response was sent whole. */
    WHOLE,
    /** The connection was closed before the response was whole. */
    BROKEN
  }

  /** Sends parts of a response on a connection. */
  public interface Sink<C> {
    /** Sends the head, at the latest with the next chunk. */
    void sendHead(ResponseHead head);

    /** Sends a chunk of the body. */
    void sendChunk(C chunk);

    /** Sends the last chunk of the body, which may be empty, and ends the response. */
    void sendLast(C chunk);

    /** Closes the connection, so that the caller sees that the response is incomplete. */
    void close();
  }

  private ResponseWriter(Sink<C> sink) {
    this.sink = checkNotNull(sink, "sink");
  }

  /** Creates a writer of one response. */
  public static <C> ResponseWriter<C> create(Sink<C> sink) {
    return new ResponseWriter<>(sink);
  }

  /** Returns how much of the response was sent. */
  public State state() {
    return state;
  }

  /**
   * Begins to relay the response of an attempt, in place of that of an earlier one.
   *
   * <p>Breaks the response off if the head of an earlier attempt was sent.
   *
   * @param head the head, which is sent with the first chunk
   */
  public Attempt begin(ResponseHead head) {
    checkNotNull(head, "head");
    breakOff();
    Attempt attempt = new Attempt(head);
    current = Optional.of(attempt);
    return attempt;
  }

  /**
   * Ends the response with another one, or breaks it off if its head was sent.
   *
   * @param sendOther sends a complete response without the head of an attempt
   * @return whether the other response was sent
   */
  @CanIgnoreReturnValue
  public boolean replace(Runnable sendOther) {
    if (state == State.OPEN) {
      state = State.WHOLE;
      sendOther.run();
      return true;
    }
    breakOff();
    return false;
  }

  /** Handles the end of the connection; nothing is sent afterwards. */
  public void onClosed() {
    if (state != State.WHOLE) {
      state = State.BROKEN;
    }
  }

  private void breakOff() {
    if (state == State.RELAYING) {
      state = State.BROKEN;
      sink.close();
    }
  }

  /** The response of one attempt, which may be sent while no later attempt has begun. */
  public final class Attempt {
    private final ResponseHead head;
    private final OptionalLong expectedBytes;
    private long sentBytes;

    private Attempt(ResponseHead head) {
      this.head = head;
      this.expectedBytes = head.expectedBodyBytes();
    }

    /**
     * Sends a chunk of the body.
     *
     * @param bytes the size of the chunk
     * @return whether it was sent; if not, the response of this attempt is over
     */
    @CanIgnoreReturnValue
    public boolean write(C chunk, long bytes) {
      if (!beginBody() || !accept(bytes)) {
        return false;
      }
      sink.sendChunk(chunk);
      return true;
    }

    /**
     * Sends the last chunk of the body and ends the response.
     *
     * @param bytes the size of the chunk, which may be 0
     * @return whether the response is whole
     */
    @CanIgnoreReturnValue
    public boolean end(C chunk, long bytes) {
      if (!beginBody() || !accept(bytes)) {
        return false;
      }
      if (expectedBytes.isPresent() && sentBytes < expectedBytes.getAsLong()) {
        breakOff();
        return false;
      }
      state = State.WHOLE;
      sink.sendLast(chunk);
      return true;
    }

    private boolean beginBody() {
      if (!current.equals(Optional.of(this))) {
        return false;
      }
      if (state == State.OPEN) {
        state = State.RELAYING;
        sink.sendHead(head);
      }
      return state == State.RELAYING;
    }

    private boolean accept(long bytes) {
      if (expectedBytes.isPresent() && sentBytes + bytes > expectedBytes.getAsLong()) {
        breakOff();
        return false;
      }
      sentBytes += bytes;
      return true;
    }
  }
}
