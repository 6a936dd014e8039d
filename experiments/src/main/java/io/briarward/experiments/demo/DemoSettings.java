package io.briarward.experiments.demo;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Where the processes of the demonstration listen and how much work it does. */
public final class DemoSettings {
  private static final Splitter COMMA = Splitter.on(',').omitEmptyStrings();

  @Option(
      name = "--configuration",
      required = true,
      metaVar = "FILE",
      usage = "the configuration to apply; the ports of its upstreams are replaced")
  private String configuration = "";

  @Option(
      name = "--node",
      required = true,
      metaVar = "ID,DATA-CENTRE,HTTP,OPERATOR,PEER",
      usage = "a node and its ports; may be repeated")
  private List<String> nodes = new ArrayList<>();

  @Option(name = "--operator-token", required = true, usage = "the operators' token")
  private String operatorToken = "";

  @Option(name = "--engines", required = true, metaVar = "PORTS", usage = "ports of the engines")
  private String engines = "";

  @Option(
      name = "--plain",
      required = true,
      metaVar = "PORTS",
      usage = "ports of the plain services")
  private String plain = "";

  @Option(name = "--weights", required = true, metaVar = "PORT", usage = "the weight store")
  private int weights;

  @Option(name = "--vms", required = true, metaVar = "PORT", usage = "the VM list")
  private int vms;

  @Option(name = "--reports", required = true, metaVar = "PORT", usage = "the report sink")
  private int reports;

  @Option(name = "--orders", required = true, metaVar = "PORT", usage = "the order interface")
  private int orders;

  @Option(name = "--groups", usage = "groups of the training step; 0 to leave it out")
  private int groups = 16;

  @Option(name = "--samples", usage = "samples of each group")
  private int samples = 8;

  @Option(name = "--live-requests", usage = "live requests beside the training step")
  private int liveRequests = 200;

  @Option(name = "--report-timeout-millis", usage = "longest wait for the usage reports")
  private long reportTimeoutMillis = 60_000;

  @Option(
      name = "--report-settle-millis",
      usage = "how long the figures must stay right, longer than a usage window")
  private long reportSettleMillis = 6_000;

  /**
   * One of the nodes.
   *
   * @param id the VM's id
   * @param dataCentre where it runs
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
