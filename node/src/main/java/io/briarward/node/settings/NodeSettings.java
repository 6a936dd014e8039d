package io.briarward.node.settings;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.util.Optional;
import java.util.regex.Pattern;
import org.kohsuke.args4j.Option;

/**
 * The settings of a node.
 *
 * <p>{@link SettingsParser} sets the fields and {@link #check} validates them; afterwards they do
 * not change.
 */
public final class NodeSettings {
  private static final Pattern ID = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

  @Option(name = "--vm-id", required = true, metaVar = "ID", usage = "the id of this VM")
  private String vmId = "";

  @Option(name = "--data-centre", required = true, metaVar = "ID", usage = "this VM's data centre")
  private String dataCentre = "";

  @Option(
      name = "--host",
      metaVar = "IP",
      usage = "the IP number to listen on and to be reached at")
  private String host = "127.0.0.1";

  @Option(name = "--http-port", metaVar = "PORT", usage = "port for callers and trainers")
  private int httpPort = 8080;

  @Option(name = "--operator-port", metaVar = "PORT", usage = "port for operators")
  private int operatorPort = 8081;

  @Option(name = "--peer-port", metaVar = "PORT", usage = "port for other nodes")
  private int peerPort = 8082;

  @Option(
      name = "--operator-token-sha256",
      required = true,
      metaVar = "HEX",
      usage = "SHA-256 of the operators' token")
  private String operatorTokenSha256 = "";

  @Option(
      name = "--table-service",
      required = true,
      metaVar = "IP:PORT",
      handler = HostAndPortHandler.class,
      usage = "the platform's table service")
  private HostAndPort tableService;

  @Option(
      name = "--object-store",
      required = true,
      metaVar = "IP:PORT",
      handler = HostAndPortHandler.class,
      usage = "the platform's object store")
  private HostAndPort objectStore;

  @Option(
      name = "--upstream-orders",
      required = true,
      metaVar = "IP:PORT",
      handler = HostAndPortHandler.class,
      usage = "the platform's interface for upstream orders")
  private HostAndPort upstreamOrders;

  @Option(
      name = "--report-sink",
      required = true,
      metaVar = "IP:PORT",
      handler = HostAndPortHandler.class,
      usage = "the platform's interface for usage reports")
  private HostAndPort reportSink;

  @Option(
      name = "--vm-list",
      required = true,
      metaVar = "IP:PORT",
      handler = HostAndPortHandler.class,
      usage = "the platform's list of VMs")
  private HostAndPort vmList;

  @Option(name = "--platform-timeout-millis", usage = "longest wait for an answer of the platform")
  private long platformTimeoutMillis = 2_000;

  @Option(name = "--max-body-bytes", usage = "largest body of a request")
  private long maxBodyBytes = 16L << 20;

  @Option(name = "--max-header-bytes", usage = "largest size of a request's headers")
  private int maxHeaderBytes = 32 << 10;

  @Option(name = "--body-timeout-millis", usage = "longest time to read a body ahead")
  private long bodyTimeoutMillis = 30_000;

  @Option(name = "--max-concurrent", usage = "most live requests that run at once on this node")
  private int maxConcurrent = 4_096;

  @Option(name = "--stop-delay-millis", usage = "time from not ready until new work is refused")
  private long stopDelayMillis = 2_000;

  @Option(name = "--stop-timeout-millis", usage = "longest wait for running work when stopping")
  private long stopTimeoutMillis = 120_000;

  @Option(name = "--usage-window-millis", usage = "length of a usage report's window")
  private long usageWindowMillis = 300_000;

  @Option(
      name = "--otlp-endpoint",
      metaVar = "URL",
      usage = "where traces go by OTLP over HTTP; none are sent when empty")
  private String otlpEndpoint = "";

  /**
   * Validates the values beyond their types and returns this object.
   *
   * @throws SettingsException if a value is invalid; the message names the flag, its value and the
   *     expected values
   */
  public NodeSettings check() {
    require(ID.matcher(vmId).matches(), "--vm-id", vmId, "[a-z0-9._-]{1,63}");
    require(ID.matcher(dataCentre).matches(), "--data-centre", dataCentre, "[a-z0-9._-]{1,63}");
    require(InetAddresses.isInetAddress(host), "--host", host, "an IP address");
    requirePort("--http-port", httpPort);
    requirePort("--operator-port", operatorPort);
    requirePort("--peer-port", peerPort);
    require(
        SHA256.matcher(operatorTokenSha256).matches(),
        "--operator-token-sha256",
        operatorTokenSha256,
        "64 lower-case hexadecimal digits");
    requirePositive("--platform-timeout-millis", platformTimeoutMillis);
    requirePositive("--max-body-bytes", maxBodyBytes);
    requirePositive("--max-header-bytes", maxHeaderBytes);
    requirePositive("--body-timeout-millis", bodyTimeoutMillis);
    requirePositive("--max-concurrent", maxConcurrent);
    require(stopDelayMillis >= 0, "--stop-delay-millis", stopDelayMillis, ">= 0");
    requirePositive("--stop-timeout-millis", stopTimeoutMillis);
    requirePositive("--usage-window-millis", usageWindowMillis);
    return this;
  }

  private static void requirePort(String flag, int port) {
    require(port >= 0 && port <= 65_535, flag, port, "0 to 65535");
  }

  private static void requirePositive(String flag, long value) {
    require(value > 0, flag, value, "> 0");
  }

  private static void require(boolean isValid, String flag, Object value, String expected) {
    if (!isValid) {
      throw new SettingsException(flag + " is " + value + ", expected " + expected);
    }
  }

  public String vmId() {
    return vmId;
  }

  public String dataCentre() {
    return dataCentre;
  }

  public String host() {
    return host;
  }

  public int httpPort() {
    return httpPort;
  }

  public int operatorPort() {
    return operatorPort;
  }

  public int peerPort() {
    return peerPort;
  }

  public String operatorTokenSha256() {
    return operatorTokenSha256;
  }

  public HostAndPort tableService() {
    return tableService;
  }

  public HostAndPort objectStore() {
    return objectStore;
  }

  public HostAndPort upstreamOrders() {
    return upstreamOrders;
  }

  public HostAndPort reportSink() {
    return reportSink;
  }

  public HostAndPort vmList() {
    return vmList;
  }

  public long platformTimeoutMillis() {
    return platformTimeoutMillis;
  }

  public long maxBodyBytes() {
    return maxBodyBytes;
  }

  public int maxHeaderBytes() {
    return maxHeaderBytes;
  }

  public long bodyTimeoutMillis() {
    return bodyTimeoutMillis;
  }

  public int maxConcurrent() {
    return maxConcurrent;
  }

  public long stopDelayMillis() {
    return stopDelayMillis;
  }

  public long stopTimeoutMillis() {
    return stopTimeoutMillis;
  }

  public long usageWindowMillis() {
    return usageWindowMillis;
  }

  /** Returns the endpoint to which traces are exported, or empty if they are not exported. */
  public Optional<String> otlpEndpoint() {
    return Optional.of(otlpEndpoint).filter(endpoint -> !endpoint.isEmpty());
  }
}
