package io.briarward.standins.input;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the bytes that a caller got, one character a byte, until its connection was closed. */
public final class RawResponses {
  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final Pattern LENGTH =
      Pattern.compile("\r\ncontent-length: ([0-9]+)\r\n", Pattern.CASE_INSENSITIVE);
  private static final Pattern CHUNKED =
      Pattern.compile("\r\ntransfer-encoding: chunked\r\n", Pattern.CASE_INSENSITIVE);

  private RawResponses() {}

  /**
   * Returns whether a caller takes a response for a whole success: one with as many bytes as it
   * announced, or with its last chunk, or without either.
   */
  public static boolean isWholeSuccess(String response) {
    int bodyAt = response.indexOf(END_OF_HEAD) + END_OF_HEAD.length();
    if (!response.startsWith("HTTP/1.1 2") || bodyAt < END_OF_HEAD.length()) {
      return false;
    }
    String head = response.substring(0, bodyAt);
    Matcher length = LENGTH.matcher(head);
    if (length.find()) {
      return response.length() - bodyAt >= Integer.parseInt(length.group(1));
    }
    return !CHUNKED.matcher(head).find() || response.endsWith("\r\n0\r\n\r\n");
  }
}
