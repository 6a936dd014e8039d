package io.briarward.core.forwarding;

import com.google.common.base.CharMatcher;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Checks the bytes of the responses on a client connection against the grammar of HTTP/1 (RFC 9112)
 * before they are decoded.
 *
 * <p>Decoders are lenient: they take other bytes for a status. What they make of such bytes is not
 * what the server sent, so a response that breaks the grammar is none. An interim response is
 * followed by another response; what follows the head of the final one is not looked at. Not for
 * pipelined requests. Not thread-safe.
 */
public final class ResponseSyntax {
  /** More than a decoder accepts, so that this class only bounds its own memory. */
  private static final int MAX_LINE_BYTES = 64 << 10;

  private static final int STATUS_SWITCHING_PROTOCOLS = 101;
  private static final int STATUS_OK = 200;
  private static final String VERSION = "HTTP/1.";
  private static final int STATUS_AT = "HTTP/1.1 ".length();
  private static final int REASON_AT = "HTTP/1.1 200".length();
  private static final CharMatcher DIGIT = CharMatcher.inRange('0', '9');
  private static final CharMatcher TEXT =
      CharMatcher.anyOf(" \t")
          .or(CharMatcher.inRange('!', '~'))
          .or(CharMatcher.inRange('\u0080', '\u00ff'))
          .precomputed();

  private final StringBuilder line = new StringBuilder();
  private Part part = Part.ENDED;
  private int status;

  /** A part of a response that breaks the grammar. */
  public enum Fault {
    /** The line with the version and the status. */
    STATUS_LINE("status-line");

    private final String label;

    Fault(String label) {
      this.label = label;
    }

    /** Returns the name for logs. */
    public String label() {
      return label;
    }
  }

  private enum Part {
    STATUS_LINE,
    HEADERS,
    /** The head of the final response has ended. */
    ENDED
  }

  private ResponseSyntax() {}

  /** Creates a check for a new connection. */
  public static ResponseSyntax create() {
    return new ResponseSyntax();
  }

  /** Begins with the response to the next request. */
  public void onRequest() {
    line.setLength(0);
    part = Part.STATUS_LINE;
  }

  /**
   * Reads the bytes that were received next.
   *
   * @return the part that breaks the grammar, after which nothing more must be read
   */
  public Optional<Fault> read(ByteBuffer bytes) {
    while (bytes.hasRemaining() && part != Part.ENDED) {
      if (!readLine(bytes)) {
        return faultUnless(line.length() <= MAX_LINE_BYTES);
      }
      Optional<Fault> fault = onLine(line.toString());
      line.setLength(0);
      if (fault.isPresent()) {
        return fault;
      }
    }
    return Optional.empty();
  }

  /** Adds bytes to the line, and returns whether its end has arrived. */
  private boolean readLine(ByteBuffer bytes) {
    while (bytes.hasRemaining() && line.length() <= MAX_LINE_BYTES) {
      char next = (char) (bytes.get() & 0xff);
      if (next == '\n') {
        return true;
      }
      line.append(next);
    }
    return false;
  }

  private Optional<Fault> onLine(String text) {
    if (part == Part.STATUS_LINE) {
      return onStatusLine(text);
    }
    if (text.equals("\r") || text.isEmpty()) {
      part = status < STATUS_OK ? Part.STATUS_LINE : Part.ENDED;
    }
    return Optional.empty();
  }

  private static Optional<Fault> faultUnless(boolean valid) {
    return valid ? Optional.empty() : Optional.of(Fault.STATUS_LINE);
  }

  private Optional<Fault> onStatusLine(String text) {
    part = Part.HEADERS;
    if (!text.endsWith("\r") || !isStatusLine(text.substring(0, text.length() - 1))) {
      return Optional.of(Fault.STATUS_LINE);
    }
    status = Integer.parseInt(text, STATUS_AT, REASON_AT, 10);
    // No request of a client asks for another protocol.
    return faultUnless(status != STATUS_SWITCHING_PROTOCOLS);
  }

  private static boolean isStatusLine(String text) {
    return text.length() >= REASON_AT
        && text.startsWith(VERSION)
        && (text.startsWith("0 ", VERSION.length()) || text.startsWith("1 ", VERSION.length()))
        && text.charAt(STATUS_AT) >= '1'
        && text.charAt(STATUS_AT) <= '5'
        && DIGIT.matches(text.charAt(STATUS_AT + 1))
        && DIGIT.matches(text.charAt(STATUS_AT + 2))
        && (text.length() == REASON_AT || text.charAt(REASON_AT) == ' ')
        && TEXT.matchesAllOf(text);
  }
}
