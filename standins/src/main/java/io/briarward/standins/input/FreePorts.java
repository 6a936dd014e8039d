package io.briarward.standins.input;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds ports on which a test can start a server later.
 *
 * <p>They lie below the ports that operating systems assign to outgoing connections, since one of
 * these could take a port before the server does. Thread-safe.
 */
public final class FreePorts {
  private static final int MIN_PORT = 20_000;
  private static final int MAX_PORT = 32_000;
  private static final int MAX_ATTEMPTS = 100;

  private FreePorts() {}

  /**
   * Returns a port that no server listens on.
   *
   * @throws IOException if none is found
   */
  public static int next() throws IOException {
    for (int attempt = 1; ; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      try (ServerSocket unused = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return port;
      } catch (IOException e) {
        if (attempt == MAX_ATTEMPTS) {
          throw e;
        }
      }
    }
  }
}
