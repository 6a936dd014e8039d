package io.briarward.core.forwarding;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.briarward.core.configuration.Route;
import java.util.Comparator;
import java.util.Optional;

/**
 * Finds the route of a request by host and path.
 *
 * <p>A route for the exact host takes precedence over a route for any host; among routes for the
 * same host, the longest matching prefix takes precedence. A prefix matches whole path segments
 * only. Immutable and thread-safe.
 */
public final class RouteTable {
  private static final String ANY_HOST = "*";
  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();

  private final ImmutableListMultimap<String, Route> byHost;

  private RouteTable(ImmutableListMultimap<String, Route> byHost) {
    this.byHost = byHost;
  }

  /** Returns a table of the given routes. */
  public static RouteTable of(ImmutableList<Route> routes) {
    ImmutableListMultimap.Builder<String, Route> byHost = ImmutableListMultimap.builder();
    routes.stream()
        .sorted(LONGEST_PREFIX_FIRST)
        .forEach(route -> byHost.put(Ascii.toLowerCase(route.host()), route));
    return new RouteTable(byHost.build());
  }

  /**
   * Returns the route of a request, or empty if no route matches.
   *
   * @param host the host name without port
   * @param path the absolute path without query
   */
  public Optional<Route> find(String host, String path) {
    return findFirstMatch(byHost.get(Ascii.toLowerCase(host)), path)
        .or(() -> findFirstMatch(byHost.get(ANY_HOST), path));
  }

  private static Optional<Route> findFirstMatch(ImmutableList<Route> routes, String path) {
    return routes.stream().filter(route -> matches(route.pathPrefix(), path)).findFirst();
  }

  private static boolean matches(String prefix, String path) {
    if (!path.startsWith(prefix)) {
      return false;
    }
    return path.length() == prefix.length()
        || prefix.endsWith("/")
        || path.charAt(prefix.length()) == '/';
  }
}
