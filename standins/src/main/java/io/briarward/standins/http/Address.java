package io.briarward.standins.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The address that a stand-in listens on or connects to.
 *
 * @param host the IP address
 * @param port the TCP port, or 0 to let the system choose a free port to listen on
 */
public record Address(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /** Validates the components. */
  public Address {
    checkArgument(!host.isEmpty(), "host is empty");
    checkArgument(port >= 0 && port <= MAX_PORT, "port is %s, expected 0 to %s", port, MAX_PORT);
  }

  /** Returns the loopback address with a port that the system chooses when the stand-in starts. */
  public static Address ephemeral() {
    return new Address("127.0.0.1", 0);
  }

  /**
   * Parses an address given as {@code host:port}.
   *
   * @throws IllegalArgumentException if the text is malformed
   */
  public static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    checkArgument(colon > 0, "address is %s, expected host:port", text);
    return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
