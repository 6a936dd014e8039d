package io.briarward.core.forwarding;

import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognises response heads that were joined from two responses.
 *
 * <p>If a server breaks off within a head and sends another response on the same connection, the
 * status line of the latter becomes part of the reason phrase or of a header. Stateless and
 * thread-safe.
 */
public final class JoinedHeads {
  private static final String PROTOCOL = "HTTP/";
  private static final Pattern STATUS_LINE = Pattern.compile(PROTOCOL + "\\d\\.\\d \\d{3}");

  private JoinedHeads() {}

  /**
   * Returns whether a head contains a second status line.
   *
   * @param reasonPhrase the rest of the status line after the status code
   * @param headers the names and values of the headers
   */
  public static boolean isJoined(String reasonPhrase, Iterable<Map.Entry<String, String>> headers) {
    if (containsStatusLine(reasonPhrase)) {
      return true;
    }
    for (Map.Entry<String, String> header : headers) {
      if (containsStatusLine(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  /** Evaluates the pattern only for the few texts that may match it; each response is checked. */
  private static boolean containsStatusLine(String text) {
    return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
  }
}
