package io.briarward.core.forwarding;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.CharMatcher;
import com.google.common.primitives.Ints;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Checks the bytes of the responses on a client connection against the grammar of HTTP/1 (RFC 9112)
 * before they are decoded.
 *
 * <p>Decoders are lenient: they take other bytes for a status, cut a field name at a blank, or read
 * a chunk size up to the first byte that is no digit. What they make of such bytes is not what the
 * server sent, so a response that breaks the grammar is none. An interim response is followed by
 * another response; bytes after the final one are not looked at. Not for pipelined requests. Not
 * thread-safe.
 */
public final class ResponseSyntax {
  /** More than a decoder accepts, so that this class only bounds its own memory. */
  private static final int MAX_LINE_BYTES = 64 << 10;

  private static final int STATUS_SWITCHING_PROTOCOLS = 101;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_NOT_MODIFIED = 304;
  private static final String VERSION = "HTTP/1.";
  private static final int STATUS_AT = "HTTP/1.1 ".length();
  private static final int REASON_AT = "HTTP/1.1 200".length();
  private static final int MAX_LENGTH_DIGITS = 18;
  private static final CharMatcher DIGIT = CharMatcher.inRange('0', '9');
  private static final CharMatcher HEX_DIGIT =
      DIGIT.or(CharMatcher.inRange('a', 'f')).or(CharMatcher.inRange('A', 'F'));
  private static final CharMatcher BLANK = CharMatcher.anyOf(" \t");

  private static final CharMatcher TOKEN =
      DIGIT
          .or(CharMatcher.inRange('a', 'z'))
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"))
          .precomputed();

  private static final CharMatcher TEXT =
      BLANK
          .or(CharMatcher.inRange('!', '~'))
          .or(CharMatcher.inRange((char) 0x80, (char) 0xff))
          .precomputed();

  private final StringBuilder line = new StringBuilder();
  private Part part = Part.ENDED;
  private boolean requestedHeadOnly;
  private boolean http10;
  private int status;
  private OptionalLong contentLength = OptionalLong.empty();
  private boolean chunked;
  private long bodyBytesLeft;

  /** A part of a response that breaks the grammar. */
  public enum Fault {
    /** The line with the version and the status. */
    STATUS_LINE("status-line"),
    /** A header or a trailer. */
    FIELD("field"),
    /** The headers that tell the length of the body. */
    LENGTH("length"),
    /** The size or the end of a chunk. */
    CHUNK("chunk");

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
    STATUS_LINE(Fault.STATUS_LINE),
    HEADERS(Fault.FIELD),
    BODY_OF_KNOWN_LENGTH(Fault.LENGTH),
    CHUNK_SIZE(Fault.CHUNK),
    CHUNK(Fault.CHUNK),
    CHUNK_END(Fault.CHUNK),
    TRAILERS(Fault.FIELD),
    BODY_UNTIL_CLOSE(Fault.LENGTH),
    ENDED(Fault.LENGTH);

    private final Fault fault;

    Part(Fault fault) {
      this.fault = fault;
    }
  }

  private ResponseSyntax() {}

  /** Creates a check for a new connection. */
  public static ResponseSyntax create() {
    return new ResponseSyntax();
  }

  /**
   * Begins with the response to the next request.
   *
   * @param method the method of the request
   */
  public void onRequest(String method) {
    requestedHeadOnly = checkNotNull(method, "method").equals("HEAD");
    line.setLength(0);
    part = Part.STATUS_LINE;
  }

  /**
   * Reads the bytes that were received next.
   *
   * @return the part that breaks the grammar, after which nothing more must be read
   */
  public Optional<Fault> read(ByteBuffer bytes) {
    while (bytes.hasRemaining() && part != Part.ENDED && part != Part.BODY_UNTIL_CLOSE) {
      if (part == Part.BODY_OF_KNOWN_LENGTH || part == Part.CHUNK) {
        skipBody(bytes);
        continue;
      }
      if (!readLine(bytes)) {
        return faultUnless(line.length() <= MAX_LINE_BYTES, part.fault);
      }
      if (line.isEmpty() || line.charAt(line.length() - 1) != '\r') {
        return Optional.of(part.fault);
      }
      String text = line.substring(0, line.length() - 1);
      line.setLength(0);
      Optional<Fault> fault = onLine(text);
      if (fault.isPresent()) {
        return fault;
      }
    }
    return Optional.empty();
  }

  /** Returns whether the body of the response ends only with the connection. */
  public boolean endsWithConnection() {
    return part == Part.BODY_UNTIL_CLOSE;
  }

  private void skipBody(ByteBuffer bytes) {
    int skipped = (int) Math.min(bodyBytesLeft, bytes.remaining());
    bytes.position(bytes.position() + skipped);
    bodyBytesLeft -= skipped;
    if (bodyBytesLeft == 0) {
      part = part == Part.CHUNK ? Part.CHUNK_END : Part.ENDED;
    }
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
    switch (part) {
      case STATUS_LINE -> {
        return onStatusLine(text);
      }
      case HEADERS -> {
        return text.isEmpty() ? onHeadEnd() : onHeader(text);
      }
      case CHUNK_SIZE -> {
        return onChunkSize(text);
      }
      case CHUNK_END -> {
        part = Part.CHUNK_SIZE;
        return faultUnless(text.isEmpty(), Fault.CHUNK);
      }
      case TRAILERS -> {
        part = text.isEmpty() ? Part.ENDED : Part.TRAILERS;
        return faultUnless(text.isEmpty() || fieldName(text).isPresent(), Fault.FIELD);
      }
      default -> throw new AssertionError(part);
    }
  }

  private static Optional<Fault> faultUnless(boolean valid, Fault fault) {
    return valid ? Optional.empty() : Optional.of(fault);
  }

  private Optional<Fault> onStatusLine(String text) {
    part = Part.HEADERS;
    contentLength = OptionalLong.empty();
    chunked = false;
    if (!isStatusLine(text)) {
      return Optional.of(Fault.STATUS_LINE);
    }
    http10 = text.charAt(VERSION.length()) == '0';
    status = Integer.parseInt(text, STATUS_AT, REASON_AT, 10);
    // No request of a client asks for another protocol.
    return faultUnless(status != STATUS_SWITCHING_PROTOCOLS, Fault.STATUS_LINE);
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

  /** Returns the name of a field, or nothing if the line is none. */
  private static Optional<String> fieldName(String text) {
    int colon = Math.max(0, text.indexOf(':'));
    String name = text.substring(0, colon);
    boolean valid =
        !name.isEmpty()
            && TOKEN.matchesAllOf(name)
            && TEXT.matchesAllOf(text.subSequence(colon, text.length()));
    return valid ? Optional.of(name) : Optional.empty();
  }

  private Optional<Fault> onHeader(String text) {
    Optional<String> name = fieldName(text);
    if (name.isEmpty()) {
      return Optional.of(Fault.FIELD);
    }
    boolean valid = true;
    if (name.get().equalsIgnoreCase("Content-Length")) {
      String length = fieldValue(text, name.get());
      valid = contentLength.isEmpty() && isLength(length);
      contentLength = valid ? OptionalLong.of(Long.parseLong(length)) : contentLength;
    } else if (name.get().equalsIgnoreCase("Transfer-Encoding")) {
      valid = !chunked && !http10 && fieldValue(text, name.get()).equalsIgnoreCase("chunked");
      chunked = true;
    }
    return faultUnless(valid, Fault.LENGTH);
  }

  private static String fieldValue(String text, String name) {
    return BLANK.trimFrom(text.substring(name.length() + 1));
  }

  private static boolean isLength(String value) {
    return !value.isEmpty() && value.length() <= MAX_LENGTH_DIGITS && DIGIT.matchesAllOf(value);
  }

  private Optional<Fault> onHeadEnd() {
    if (chunked && contentLength.isPresent()) {
      return Optional.of(Fault.LENGTH);
    }
    if (status < STATUS_OK) {
      part = Part.STATUS_LINE;
    } else if (requestedHeadOnly
        || status == STATUS_NO_CONTENT
        || status == STATUS_NOT_MODIFIED
        || contentLength.equals(OptionalLong.of(0))) {
      part = Part.ENDED;
    } else if (chunked) {
      part = Part.CHUNK_SIZE;
    } else {
      bodyBytesLeft = contentLength.orElse(0);
      part = contentLength.isPresent() ? Part.BODY_OF_KNOWN_LENGTH : Part.BODY_UNTIL_CLOSE;
    }
    return Optional.empty();
  }

  private Optional<Fault> onChunkSize(String text) {
    int extensionAt = text.indexOf(';');
    String size = BLANK.trimTrailingFrom(extensionAt < 0 ? text : text.substring(0, extensionAt));
    // The decoder counts the bytes of a chunk in 32 bits and does not check for more.
    Optional<Integer> chunkBytes = Optional.ofNullable(Ints.tryParse(size, 16));
    boolean valid =
        chunkBytes.isPresent() && HEX_DIGIT.matchesAllOf(size) && TEXT.matchesAllOf(text);
    bodyBytesLeft = chunkBytes.orElse(0);
    part = bodyBytesLeft == 0 ? Part.TRAILERS : Part.CHUNK;
    return faultUnless(valid, Fault.CHUNK);
  }
}
