package io.briarward.core.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * Tells whether an answer is whole.
 *
 * <p>An answer is whole when its message ended as the protocol says, its length is the one
 * announced, and, for a streamed completion, its final marker came. Confined to one event loop.
 */
public final class AnswerGuard {
  /** How an answer tells that it is whole. */
  public enum Framing {
    /** By the end of the message alone, such as the last chunk. */
    MESSAGE_END,
    /** By a final marker in the content besides, such as the last event of a stream. */
    FINAL_MARKER
  }

  private final Framing framing;
  private final OptionalLong announcedBytes;
  private long receivedBytes;
  private boolean markerSeen;
  private boolean messageEnded;

  private AnswerGuard(Framing framing, OptionalLong announcedBytes) {
    this.framing = checkNotNull(framing, "framing");
    this.announcedBytes = checkNotNull(announcedBytes, "announcedBytes");
  }

  /**
   * Creates the guard of an answer whose head has arrived.
   *
   * @param announcedBytes the announced length of the body, if any
   */
  public static AnswerGuard create(Framing framing, OptionalLong announcedBytes) {
    return new AnswerGuard(framing, announcedBytes);
  }

  /** Records bytes of the body. */
  public void onBytes(int count) {
    checkArgument(count >= 0, "count is %s, expected >= 0", count);
    receivedBytes += count;
  }

  /** Records that the final marker arrived. */
  public void onFinalMarker() {
    markerSeen = true;
  }

  /** Records that the message ended; a connection that closed without it does not count. */
  public void onMessageEnd() {
    messageEnded = true;
  }

  /** Returns whether the answer may be passed off as whole. */
  public boolean whole() {
    boolean lengthMatches = announcedBytes.isEmpty() || announcedBytes.getAsLong() == receivedBytes;
    boolean marked = framing == Framing.MESSAGE_END || markerSeen;
    return messageEnded && lengthMatches && marked;
  }
}
