package io.briarward.standins.input;

import static io.briarward.standins.input.ClientLoad.bytes;

import io.briarward.standins.input.ClientLoad.Script;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * What clients send that use up a server: legal in size but costly to keep, or never complete.
 *
 * <p>A {@code start} is the first line and the headers of a valid request, without the empty line
 * that ends them.
 */
public final class ClientScripts {
  private static final int HEADER_LINES = 3_500;
  private static final int FILLER_BYTES = 16 << 10;
  private static final String[] ODD_LINES = {
    "a:\r\n", ":\r\n", "b\r\n", " folded\r\n", "c:\t\r\n", "é: ÿ\r\n", "d:\n", "e :1\r\n"
  };

  private ClientScripts() {}

  /** Requests with as many short header lines as fit, whose body never arrives. */
  public static Script manyHeaderLines(String start) {
    String head = start + "a:\r\n".repeat(HEADER_LINES) + "Content-Length: 9\r\n\r\n";
    return () -> List.of(bytes(head)).iterator();
  }

  /** Heads with as many short header lines as fit, without their end. */
  public static Script headWithoutEnd(String start) {
    String head = start + "a:\r\n".repeat(HEADER_LINES);
    return () -> List.of(bytes(head)).iterator();
  }

  /** Heads whose lines have no name, no colon, no value or characters that are not allowed. */
  public static Script oddHeaderLines(String start) {
    return () ->
        IntStream.range(0, ODD_LINES.length)
            .mapToObj(i -> bytes((i == 0 ? start : "") + ODD_LINES[i].repeat(HEADER_LINES / 8)))
            .iterator();
  }

  /** Heads above any limit: one line without end. */
  public static Script endlessHeaderLine(String start) {
    return () -> endless(bytes(start + "a: "), bytes("x".repeat(FILLER_BYTES)));
  }

  /** Heads that never end: one short line after the other. */
  public static Script endlessHeaderLines(String start) {
    return () -> endless(bytes(start), bytes("a:\r\n".repeat(16)));
  }

  /** Empty lines without end in place of a request. */
  public static Script endlessEmptyLines() {
    return () -> endless(bytes("\r\n"), bytes("\r\n".repeat(FILLER_BYTES / 2)));
  }

  /** Bodies of an announced length that stop one byte short of it. */
  public static Script bodyWithoutEnd(String start, int bodyBytes) {
    String head = start + "Content-Length: " + bodyBytes + "\r\n\r\n";
    return () -> List.of(bytes(head), new byte[bodyBytes - 1]).iterator();
  }

  /** Bodies in chunks of the given size, without the last chunk. */
  public static Script chunkedBodyWithoutEnd(String start, int bodyBytes, int chunkBytes) {
    String head = start + "Transfer-Encoding: chunked\r\n\r\n";
    String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "y".repeat(chunkBytes) + "\r\n";
    int chunksPerPiece = Math.max(1, FILLER_BYTES / chunkBytes);
    byte[] piece = bytes(chunk.repeat(chunksPerPiece));
    int pieces = bodyBytes / chunkBytes / chunksPerPiece;
    return () ->
        IntStream.rangeClosed(0, pieces).mapToObj(i -> i == 0 ? bytes(head) : piece).iterator();
  }

  /** A chunked body whose chunk lines carry extensions without end. */
  public static Script endlessChunkExtension(String start) {
    return () ->
        endless(
            bytes(start + "Transfer-Encoding: chunked\r\n\r\n1;a="),
            bytes("x".repeat(FILLER_BYTES)));
  }

  /** A chunked body with trailers without end. */
  public static Script endlessTrailers(String start) {
    return () ->
        endless(
            bytes(start + "Transfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0\r\n"),
            bytes("a:\r\n".repeat(FILLER_BYTES / 4)));
  }

  /** Whole requests, sent without waiting for responses. */
  public static Script pipelinedRequests(String request) {
    byte[] piece = bytes(request.repeat(1 + FILLER_BYTES / request.length()));
    return () -> endless(piece, piece);
  }

  /** A complete request on a connection that then sends what {@code next} sends. */
  public static Script after(String request, Script next) {
    return () -> {
      Iterator<byte[]> rest = next.get();
      return new Iterator<>() {
        private boolean started;

        @Override
        public boolean hasNext() {
          return !started || rest.hasNext();
        }

        @Override
        public byte[] next() {
          if (started) {
            return rest.next();
          }
          started = true;
          return bytes(request);
        }
      };
    };
  }

  private static Iterator<byte[]> endless(byte[] first, byte[] filler) {
    Iterator<byte[]> fillers = Collections.nCopies(Integer.MAX_VALUE, filler).iterator();
    return new Iterator<>() {
      private boolean started;

      @Override
      public boolean hasNext() {
        return true;
      }

      @Override
      public byte[] next() {
        if (started) {
          return fillers.next();
        }
        started = true;
        return first;
      }
    };
  }
}
