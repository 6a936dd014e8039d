package io.briarward.core.forwarding;

import com.google.common.base.Ascii;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which headers a node forwards.
 *
 * <p>Hop-by-hop headers are dropped in both directions. Requests to an upstream are also sent
 * without the headers that authenticate the caller, any header whose value contains the caller's
 * key, and the headers that the node sets itself. Stateless and thread-safe.
 */
public final class HeaderRules {
  private static final ImmutableSet<String> HOP_BY_HOP =
      ImmutableSet.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");
  private static final ImmutableSet<String> AUTHENTICATION =
      ImmutableSet.of("authorization", "x-api-key", "api-key", "cookie");
  private static final ImmutableSet<String> SET_BY_NODE =
      ImmutableSet.of(
          "host",
          "content-length",
          "expect",
          "traceparent",
          "tracestate",
          "x-request-id",
          "x-timeout-millis");
  private static final String BEARER = "bearer ";

  private HeaderRules() {}

  /** Returns the secret in an {@code Authorization: Bearer} value, or empty if there is none. */
  public static Optional<String> bearerSecret(String authorization) {
    boolean bearer =
        authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())
            && authorization.length() > BEARER.length();
    return bearer ? Optional.of(authorization.substring(BEARER.length()).trim()) : Optional.empty();
  }

  /**
   * Returns whether a client may set a header of a request to an upstream: one that does not frame
   * the message, belong to one connection, authenticate the client or stand for the node.
   */
  public static boolean mayForward(String headerName) {
    String name = Ascii.toLowerCase(headerName);
    return !HOP_BY_HOP.contains(name)
        && !AUTHENTICATION.contains(name)
        && !SET_BY_NODE.contains(name);
  }

  /**
   * Returns the request headers to forward to the upstream, in order.
   *
   * @param headers the caller's headers in order
   * @param secret the key that the caller sent, if any
   */
  public static ImmutableList<Map.Entry<String, String>> toUpstream(
      Iterable<Map.Entry<String, String>> headers, Optional<String> secret) {
    ImmutableSet<String> namedByConnection = headersNamedByConnection(headers);
    ImmutableList.Builder<Map.Entry<String, String>> kept = ImmutableList.builder();
    for (Map.Entry<String, String> header : headers) {
      boolean dropped =
          !mayForward(header.getKey())
              || namedByConnection.contains(Ascii.toLowerCase(header.getKey()))
              || secret.filter(header.getValue()::contains).isPresent();
      if (!dropped) {
        kept.add(Map.entry(header.getKey(), header.getValue()));
      }
    }
    return kept.build();
  }

  /** Returns the response headers to forward to the caller, in order. */
  public static ImmutableList<Map.Entry<String, String>> toCaller(
      Iterable<Map.Entry<String, String>> headers) {
    ImmutableSet<String> namedByConnection = headersNamedByConnection(headers);
    ImmutableList.Builder<Map.Entry<String, String>> kept = ImmutableList.builder();
    for (Map.Entry<String, String> header : headers) {
      String name = Ascii.toLowerCase(header.getKey());
      boolean framing = name.equals("content-length");
      if (!HOP_BY_HOP.contains(name) && !namedByConnection.contains(name) && !framing) {
        kept.add(Map.entry(header.getKey(), header.getValue()));
      }
    }
    return kept.build();
  }

  private static ImmutableSet<String> headersNamedByConnection(
      Iterable<Map.Entry<String, String>> headers) {
    ImmutableSet.Builder<String> names = ImmutableSet.builder();
    for (Map.Entry<String, String> header : headers) {
      if (header.getKey().equalsIgnoreCase("connection")) {
        Splitter.on(',')
            .trimResults()
            .omitEmptyStrings()
            .split(Ascii.toLowerCase(header.getValue()))
            .forEach(names::add);
      }
    }
    return names.build();
  }
}
