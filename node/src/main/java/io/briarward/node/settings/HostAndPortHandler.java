package io.briarward.node.settings;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;

/** An args4j option handler for {@code IP:PORT}, which rejects host names. */
public final class HostAndPortHandler extends OneArgumentOptionHandler<HostAndPort> {
  /** Creates a handler; args4j calls this by reflection. */
  public HostAndPortHandler(
      CmdLineParser parser, OptionDef option, Setter<? super HostAndPort> setter) {
    super(parser, option, setter);
  }

  @Override
  protected HostAndPort parse(String argument) throws CmdLineException {
    try {
      HostAndPort address = HostAndPort.fromString(argument);
      if (address.hasPort() && InetAddresses.isInetAddress(address.getHost())) {
        return address;
      }
    } catch (IllegalArgumentException e) {
      throw rejection(argument, e);
    }
    throw rejection(argument, null);
  }

  private CmdLineException rejection(String argument, Throwable cause) {
    String message =
        option + " is " + argument + ", expected an IP address and a port such as 10.0.0.1:8080";
    return new CmdLineException(owner, message, cause);
  }
}
