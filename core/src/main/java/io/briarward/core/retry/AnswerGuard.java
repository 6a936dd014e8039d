package io.briarward.core.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * Checks whether a response is complete.
 *
 * <p>A response is complete if its message ended as the protocol requires, its body has the
 * declared length, and, for a streamed completion, its final marker arrived. Not thread-safe:
 * confined to one event loop.
 */
public final class AnswerGuard {
  /** How the end of a response is indicated. */
  public enum Framing {
    /** Only by the end of the message, such as the last chunk. */
    MESSAGE_END,
    /** Also by a final marker in the content, such as the last event of a stream. */
    FINAL_MARKER
  }

  private final Framing framing;
  private final OptionalLong declaredBytes;
  private long receivedBytes;
  private boolean finalMarkerSeen;
  private boolean messageEnded;

  private AnswerGuard(Framing framing, OptionalLong declaredBytes) {
    this.framing = checkNotNull(framing, "framing");
    this.declaredBytes = checkNotNull(declaredBytes, "declaredBytes");
  }

  /**
   * Creates a guard for a response whose head has arrived.
   *
   * @param framing how the end of the response is indicated
   * @param declaredBytes the declared length of the body in bytes, if any
   */
  public static AnswerGuard create(Framing framing, OptionalLong declaredBytes) {
    return new AnswerGuard(framing, declaredBytes);
  }

  /** Records that bytes of the body arrived. */
  public void onBytes(int count) {
    checkArgument(count >= 0, "count is %s, expected >= 0", count);
    receivedBytes += count;
  }

  /** Records that the final marker arrived. */
  public void onFinalMarker() {
    finalMarkerSeen = true;
  }

  /** Records the end of the message; a closed connection alone does not end a message. */
  public void onMessageEnd() {
    messageEnded = true;
  }

  /** Returns whether the response is complete. */
  public boolean whole() {
    boolean lengthMatches = declaredBytes.isEmpty() || declaredBytes.getAsLong() == receivedBytes;
    boolean markerMatches = framing == Framing.MESSAGE_END || finalMarkerSeen;
    return messageEnded && lengthMatches && markerMatches;
  }
}
