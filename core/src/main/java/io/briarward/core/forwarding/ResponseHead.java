package io.briarward.core.forwarding;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The status and headers of a response that is relayed to a caller.
 *
 * @param status the HTTP status code
 * @param headers the headers without the ones that frame the body, in order
 * @param contentLength the announced length of the body, in bytes; empty if it is not known
 * @param hasBody whether a body follows; a response to HEAD has none despite its length
 */
public record ResponseHead(
    int status,
    ImmutableList<Map.Entry<String, String>> headers,
    OptionalLong contentLength,
    boolean hasBody) {
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_NOT_MODIFIED = 304;

  /** Validates the components. */
  public ResponseHead {
    checkNotNull(headers, "headers");
    checkNotNull(contentLength, "contentLength");
    checkArgument(
        contentLength.orElse(0) >= 0, "contentLength is %s, expected >= 0", contentLength);
  }

  /**
   * Returns the head to relay for an upstream's response.
   *
   * @param isHead whether the request's method is HEAD
   */
  public static ResponseHead relayed(
      int status,
      Iterable<Map.Entry<String, String>> upstreamHeaders,
      OptionalLong contentLength,
      boolean isHead) {
    boolean hasBody = !isHead && status != STATUS_NO_CONTENT && status != STATUS_NOT_MODIFIED;
    return new ResponseHead(status, HeaderRules.toCaller(upstreamHeaders), contentLength, hasBody);
  }

  /** Returns whether the body is sent in chunks because its length is not known. */
  public boolean isChunked() {
    return hasBody && contentLength.isEmpty();
  }

  /** Returns the number of bytes that the body must have; empty if any number is whole. */
  OptionalLong expectedBodyBytes() {
    return hasBody ? contentLength : OptionalLong.of(0);
  }
}
