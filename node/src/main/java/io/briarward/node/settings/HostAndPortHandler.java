package io.briarward.node.settings;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;

/** Reads {@code ADDRESS:PORT}, where the address is an IP number. */
public final class HostAndPortHandler extends OneArgumentOptionHandler<HostAndPort> {
  /** Creates a handler, called by args4j. */
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
      throw refused(argument, e);
    }
    throw refused(argument, null);
  }

  private CmdLineException refused(String argument, Throwable cause) {
    String message =
        option + " is " + argument + ", expected an IP number and a port such as 10.0.0.1:8080";
    return new CmdLineException(owner, message, cause);
  }
}
