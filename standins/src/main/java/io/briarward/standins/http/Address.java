package io.briarward.standins.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Where a stand-in listens or another one is reached.
 *
 * @param host an IP number
 * @param port the TCP port; 0 lets the system choose a free one
 */
public record Address(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /** Checks the fields. */
  public Address {
    checkArgument(!host.isEmpty(), "host is empty");
    checkArgument(port >= 0 && port <= MAX_PORT, "port is %s, expected 0 to %s", port, MAX_PORT);
  }

  /** Returns a free port of the loopback interface, chosen when the stand-in starts. */
  public static Address ephemeral() {
    return new Address("127.0.0.1", 0);
  }

  /** Parses {@code host:port}. */
  public static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    checkArgument(colon > 0, "address is %s, expected host:port", text);
    return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
