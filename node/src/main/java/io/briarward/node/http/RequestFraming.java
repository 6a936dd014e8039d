package io.briarward.node.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Finds where the parts of an HTTP/1 request end, and counts the bytes and lines of its head and
 * its trailers, before the bytes reach the decoder.
 *
 * <p>It decides nothing about the request: the decoder does, and says where the head ended. Where
 * this class and the decoder disagree about the end of a body, the rest of the connection counts as
 * body until the decoder reports the end. Not thread-safe.
 */
final class RequestFraming {
  private static final int MAX_HEX_DIGITS = 15;

  private enum Part {
    HEAD,
    FIXED_BODY,
    CHUNK_LINE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILERS,
    UNKNOWN_BODY
  }

  private Part part = Part.HEAD;
  private boolean lineEmpty = true;
  private boolean headBegun;
  private int emptyLines;
  private long headBytes;
  private long headLines;
  private long bodyBytesLeft;
  private long chunkBytes;
  private int hexDigits;
  private boolean inChunkSize;

  /** Returns whether bytes of a head were seen whose end was not reported. */
  boolean headBegun() {
    return part == Part.HEAD && headBegun;
  }

  /** Returns whether the head has ended and the body has not. */
  boolean inBody() {
    return part != Part.HEAD;
  }

  /** Returns the number of empty lines before the request. */
  int emptyLines() {
    return emptyLines;
  }

  /** Returns the number of bytes of the head, of chunk lines without end and of trailers. */
  long headBytes() {
    return headBytes;
  }

  /** Returns the number of lines of the head and of the trailers. */
  long headLines() {
    return headLines;
  }

  /** Begins with the next request. */
  void onRequestEnd() {
    part = Part.HEAD;
    lineEmpty = true;
    headBegun = false;
    emptyLines = 0;
    headBytes = 0;
    headLines = 0;
  }

  /** The decoder has found the end of the head of a request with a body of the given length. */
  void onFixedBody(long bytes) {
    checkArgument(bytes >= 0, "bytes is %s, expected >= 0", bytes);
    part = Part.FIXED_BODY;
    bodyBytesLeft = bytes;
  }

  /** The decoder has found the end of the head of a request with a body in chunks. */
  void onChunkedBody() {
    beginChunkLine();
  }

  private void beginChunkLine() {
    part = Part.CHUNK_LINE;
    chunkBytes = 0;
    hexDigits = 0;
    inChunkSize = true;
  }

  /** Reads a byte of the input. */
  @FunctionalInterface
  interface Input {
    /** Returns the byte at an index. */
    byte get(int index);
  }

  /**
   * Consumes bytes up to the end of the head or of the request, or all of them.
   *
   * @return the index after the last byte that was consumed
   */
  int consume(Input input, int start, int end) {
    int index = start;
    while (index < end) {
      switch (part) {
        case UNKNOWN_BODY -> {
          return end;
        }
        case FIXED_BODY -> {
          if (bodyBytesLeft == 0) {
            part = Part.UNKNOWN_BODY;
            return end;
          }
          int taken = (int) Math.min(bodyBytesLeft, end - index);
          bodyBytesLeft -= taken;
          return index + taken;
        }
        case CHUNK_DATA -> {
          int taken = (int) Math.min(chunkBytes, end - index);
          chunkBytes -= taken;
          index += taken;
          if (chunkBytes == 0) {
            part = Part.CHUNK_END;
          }
        }
        default -> {
          if (consume(input.get(index++))) {
            return index;
          }
        }
      }
    }
    return index;
  }

  /** Consumes one byte that may end a line, and returns whether it ends the head or the request. */
  private boolean consume(byte next) {
    switch (part) {
      case HEAD -> {
        return consumeHeadByte(next);
      }
      case CHUNK_LINE -> consumeChunkLineByte(next);
      case CHUNK_END -> {
        if (next == '\n') {
          beginChunkLine();
        }
      }
      case TRAILERS -> {
        return consumeTrailerByte(next);
      }
      default -> throw new AssertionError(part);
    }
    return false;
  }

  private boolean consumeHeadByte(byte next) {
    if (next == '\n') {
      if (lineEmpty && !headBegun) {
        emptyLines++;
        return false;
      }
      headBytes++;
      headLines++;
      boolean ends = lineEmpty;
      lineEmpty = true;
      return ends;
    }
    if (next != '\r' || headBegun) {
      headBytes++;
    }
    if (next != '\r') {
      lineEmpty = false;
      headBegun = true;
    }
    return false;
  }

  private void consumeChunkLineByte(byte next) {
    if (next == '\n') {
      lineEmpty = true;
      part = chunkBytes == 0 ? Part.TRAILERS : Part.CHUNK_DATA;
      return;
    }
    int digit = Character.digit(next, 16);
    if (inChunkSize && digit >= 0 && hexDigits < MAX_HEX_DIGITS) {
      chunkBytes = chunkBytes << 4 | digit;
      hexDigits += chunkBytes == 0 ? 0 : 1;
    } else {
      inChunkSize = false;
    }
  }

  private boolean consumeTrailerByte(byte next) {
    headBytes++;
    if (next == '\n') {
      headLines++;
      boolean ends = lineEmpty;
      lineEmpty = true;
      return ends;
    }
    if (next != '\r') {
      lineEmpty = false;
    }
    return false;
  }
}
