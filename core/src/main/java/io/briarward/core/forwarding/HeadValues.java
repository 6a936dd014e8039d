package io.briarward.core.forwarding;

import com.google.common.base.CharMatcher;

/**
 * Decides which values of a client can stand in the head of a request.
 *
 * <p>Others would end a line or the head, or reach the upstream changed. Stateless and thread-safe.
 */
public final class HeadValues {
  private static final CharMatcher VISIBLE_ASCII = CharMatcher.inRange('!', '~').precomputed();

  /** The characters of a token, RFC 9110, section 5.6.2. */
  private static final CharMatcher TOKEN =
      CharMatcher.inRange('a', 'z')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.inRange('0', '9'))
          .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"))
          .precomputed();

  /** What a header value may consist of, which is sent in ISO 8859-1. */
  private static final CharMatcher VALUE =
      CharMatcher.inRange(' ', '~')
          .or(CharMatcher.is('\t'))
          .or(CharMatcher.inRange((char) 0x80, (char) 0xff))
          .precomputed();

  private HeadValues() {}

  /** Returns whether a text can be the name of a header. */
  public static boolean isFieldName(String text) {
    return !text.isEmpty() && TOKEN.matchesAllOf(text);
  }

  /** Returns whether a text can be the value of a header; blanks at its ends get lost. */
  public static boolean isFieldValue(String text) {
    return VALUE.matchesAllOf(text);
  }

  /** Returns whether a text can be an id, which is compared with the one in a response. */
  public static boolean isId(String text) {
    return !text.isEmpty()
        && VISIBLE_ASCII.or(CharMatcher.is(' ')).matchesAllOf(text)
        && text.charAt(0) != ' '
        && text.charAt(text.length() - 1) != ' ';
  }

  /** Returns whether a text can be the name of a host. */
  public static boolean isHost(String text) {
    return !text.isEmpty() && VISIBLE_ASCII.matchesAllOf(text);
  }

  /** Returns whether a text can be the target of a request, a path with or without a query. */
  public static boolean isTarget(String text) {
    return text.startsWith("/") && VISIBLE_ASCII.matchesAllOf(text);
  }
}
