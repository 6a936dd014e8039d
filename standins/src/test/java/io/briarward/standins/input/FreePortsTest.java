package io.briarward.standins.input;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

class FreePortsTest {
  @Test
  void portsOfServersAreNotReturned() throws Exception {
    int port = FreePorts.next();
    try (ServerSocket server = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 100; i++) {
        assertThat(FreePorts.next()).isNotEqualTo(server.getLocalPort());
      }
    }
  }
}
