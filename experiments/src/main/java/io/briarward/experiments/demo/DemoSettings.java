package io.briarward.experiments.demo;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Command-line options of the demonstration: the ports of its processes and its load. */
public final class DemoSettings {
  private static final Splitter COMMA = Splitter.on(',').omitEmptyStrings();

  @Option(
      name = "--configuration",
      required = true,
      metaVar = "FILE",
      usage =
          "the configuration to apply; its upstreams' ports are replaced by those of the options")
  private String configuration = "";

  @Option(
      name = "--node",
      required = true,
      metaVar = "ID,DATA-CENTRE,HTTP,OPERATOR,PEER",
      usage = "a node's VM id, data centre and ports; may be repeated")
  private List<String> nodes = new ArrayList<>();

  @Option(
      name = "--operator-token",
      required = true,
      usage = "the bearer token of the operators' interface")
  private String operatorToken = "";

  @Option(
      name = "--engines",
      required = true,
      metaVar = "PORTS",
      usage = "comma-separated ports of the model engines")
  private String engines = "";

  @Option(
      name = "--plain",
      required = true,
      metaVar = "PORTS",
      usage = "comma-separated ports of the plain services")
  private String plain = "";

  @Option(name = "--weights", required = true, metaVar = "PORT", usage = "port of the weight store")
  private int weights;

  @Option(name = "--vms", required = true, metaVar = "PORT", usage = "port of the VM list")
  private int vms;

  @Option(name = "--reports", required = true, metaVar = "PORT", usage = "port of the report sink")
  private int reports;

  @Option(
      name = "--orders",
      required = true,
      metaVar = "PORT",
      usage = "port of the interface for ordering upstreams")
  private int orders;

  @Option(name = "--groups", usage = "number of groups of the training step; 0 skips the step")
  private int groups = 16;

  @Option(name = "--samples", usage = "number of samples in each group")
  private int samples = 8;

  @Option(name = "--live-requests", usage = "number of live requests sent during the training step")
  private int liveRequests = 200;

  @Option(name = "--report-timeout-millis", usage = "how long to wait for the usage reports")
  private long reportTimeoutMillis = 60_000;

  @Option(
      name = "--report-settle-millis",
      usage = "how long the reported usage must stay correct; must exceed a usage window")
  private long reportSettleMillis = 6_000;

  /**
   * A node and its ports.
   *
   * @param id the VM's id
   * @param dataCentre the data centre in which it runs
   * @param httpPort its port for callers and trainers
   * @param operatorPort its port for operators
   * @param peerPort its port for other nodes
   */
  record NodePorts(String id, String dataCentre, int httpPort, int operatorPort, int peerPort) {
    private static final int FIELDS = 5;

    static NodePorts parse(String text) {
      List<String> fields = COMMA.splitToList(text);
      checkArgument(
          fields.size() == FIELDS,
          "--node is %s, expected ID,DATA-CENTRE,HTTP,OPERATOR,PEER",
          text);
      return new NodePorts(
          fields.get(0),
          fields.get(1),
          Integer.parseInt(fields.get(2)),
          Integer.parseInt(fields.get(3)),
          Integer.parseInt(fields.get(4)));
    }
  }

  String configuration() {
    return configuration;
  }

  ImmutableList<NodePorts> nodes() {
    return nodes.stream().map(NodePorts::parse).collect(ImmutableList.toImmutableList());
  }

  String operatorToken() {
    return operatorToken;
  }

  ImmutableList<Integer> engines() {
    return ports(engines);
  }

  ImmutableList<Integer> plain() {
    return ports(plain);
  }

  int weights() {
    return weights;
  }

  int vms() {
    return vms;
  }

  int reports() {
    return reports;
  }

  int orders() {
    return orders;
  }

  int groups() {
    return groups;
  }

  int samples() {
    return samples;
  }

  int liveRequests() {
    return liveRequests;
  }

  long reportTimeoutMillis() {
    return reportTimeoutMillis;
  }

  long reportSettleMillis() {
    return reportSettleMillis;
  }

  private static ImmutableList<Integer> ports(String text) {
    return COMMA
        .splitToStream(text)
        .map(Integer::parseInt)
        .collect(ImmutableList.toImmutableList());
  }
}
