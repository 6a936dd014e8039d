package io.briarward.experiments.bench;

import com.google.common.net.HostAndPort;
import io.briarward.node.settings.HostAndPortHandler;
import org.kohsuke.args4j.Option;

/** Command-line options of a benchmark run. */
public final class BenchSettings {
  @Option(
      name = "--direct",
      required = true,
      metaVar = "IP:PORT",
      handler = HostAndPortHandler.class,
      usage = "address of the plain upstream, called directly")
  HostAndPort direct;

  @Option(
      name = "--node",
      required = true,
      metaVar = "IP:PORT",
      handler = HostAndPortHandler.class,
      usage = "address of a node that routes to the plain and the model upstream")
  HostAndPort node;

  @Option(name = "--node-pid", required = true, metaVar = "PID", usage = "process id of the node")
  long nodePid;

  @Option(
      name = "--upstream-pid",
      required = true,
      metaVar = "PID",
      usage = "process id of the upstreams")
  long upstreamPid;

  @Option(name = "--secret", required = true, metaVar = "TEXT", usage = "secret of the caller key")
  String secret = "";

  @Option(
      name = "--requests",
      metaVar = "N",
      usage = "number of direct and of routed requests in a round")
  int requests = 4_000;

  @Option(
      name = "--rounds",
      metaVar = "N",
      usage = "number of rounds, each direct and through the node")
  int rounds = 5;

  @Option(name = "--concurrency", metaVar = "N", usage = "number of requests in flight")
  int concurrency = 64;

  @Option(
      name = "--streams",
      metaVar = "N",
      usage = "number of streams held open to measure memory")
  int streams = 2_000;
}
