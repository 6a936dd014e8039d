package io.briarward.core.forwarding;

import com.google.common.collect.Streams;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Recognises response heads that were joined from two responses.
 *
 * <p>If a server breaks off within a head and sends another response on the same connection, the
 * status line of the latter becomes part of the reason phrase or of a header. Stateless and
 * thread-safe.
 */
public final class JoinedHeads {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

  private JoinedHeads() {}

  /**
   * Returns whether a head contains a second status line.
   *
   * @param reasonPhrase the rest of the status line after the status code
   * @param headers the names and values of the headers
   */
  public static boolean isJoined(String reasonPhrase, Iterable<Map.Entry<String, String>> headers) {
    return Stream.concat(
            Stream.of(reasonPhrase), Streams.stream(headers).map(header -> header.getValue()))
        .anyMatch(text -> STATUS_LINE.matcher(text).find());
  }
}
