package io.briarward.node.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import com.google.common.net.HostAndPort;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.node.Node;
import io.briarward.node.platform.JsonHttpClient;
import io.briarward.node.settings.NodeSettings;
import io.briarward.node.settings.SettingsParser;
import io.briarward.standins.StandIns;
import io.briarward.standins.http.RunningStandIn;
import io.briarward.standins.input.RawClient;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Runs stand-ins of the platform, and nodes, in this process on loopback ports. */
public final class TestDeployment implements AutoCloseable {
  /** The operator token that the nodes accept. */
  public static final String OPERATOR_TOKEN = "operator-token";

  private static final String HOST = "127.0.0.1";
  private static final long CLIENT_TIMEOUT_MILLIS = 30_000;

  private final Vertx vertx = Vertx.vertx();
  private final JsonHttpClient client = JsonHttpClient.create(vertx, CLIENT_TIMEOUT_MILLIS);
  private final List<AutoCloseable> running = new ArrayList<>();
  private final Map<StandIns.Name, RunningStandIn> platform;

  private TestDeployment() {
    platform =
        ImmutableMap.of(
            StandIns.Name.TABLE, standIn(StandIns.Name.TABLE, Map.of()),
            StandIns.Name.OBJECTS, standIn(StandIns.Name.OBJECTS, Map.of()),
            StandIns.Name.ORDERS, standIn(StandIns.Name.ORDERS, Map.of()),
            StandIns.Name.REPORTS, standIn(StandIns.Name.REPORTS, Map.of()),
            StandIns.Name.VMS, standIn(StandIns.Name.VMS, Map.of()));
  }

  /** Starts the platform's stand-ins. */
  public static TestDeployment start() {
    return new TestDeployment();
  }

  /** Starts a stand-in on a free port. */
  public RunningStandIn standIn(StandIns.Name name, Map<String, String> options) {
    RunningStandIn started = StandIns.start(name, vertx, HOST, 0, options).blockingGet();
    running.add(started);
    return started;
  }

  /** Returns the running stand-in of one of the platform's services. */
  public RunningStandIn platform(StandIns.Name name) {
    return platform.get(name);
  }

  /** Starts a node whose stop has no delay before it rejects requests. */
  public Node node(String vmId) {
    return node(vmId, 0);
  }

  /** Starts a node as {@link #node(String)} does that listens for peers at a given port. */
  public Node node(String vmId, int peerPort) {
    NodeSettings settings =
        SettingsParser.parse(
                new NodeSettings(),
                ImmutableMap.of(),
                "--vm-id",
                vmId,
                "--data-centre",
                "nadi",
                "--http-port",
                "0",
                "--operator-port",
                "0",
                "--peer-port",
                Integer.toString(peerPort),
                "--stop-delay-millis",
                "0",
                "--operator-token-sha256",
                Hashing.sha256().hashString(OPERATOR_TOKEN, StandardCharsets.UTF_8).toString(),
                "--table-service",
                address(StandIns.Name.TABLE),
                "--object-store",
                address(StandIns.Name.OBJECTS),
                "--upstream-orders",
                address(StandIns.Name.ORDERS),
                "--report-sink",
                address(StandIns.Name.REPORTS),
                "--vm-list",
                address(StandIns.Name.VMS))
            .check();
    return Node.start(vertx, settings).blockingGet();
  }

  /** Replaces the configuration of version {@code expectedVersion} through a node. */
  public void apply(Node node, Configuration configuration, long expectedVersion) {
    JsonHttpClient.Reply reply =
        send(
            HttpMethod.PUT,
            node.operatorPort(),
            "/v1/configuration",
            ImmutableMap.of(
                "Authorization",
                "Bearer " + OPERATOR_TOKEN,
                "If-Match",
                "\"" + expectedVersion + "\""),
            ConfigurationCodec.print(configuration));
    if (reply.status() != 200) {
      throw new IllegalStateException("configuration rejected: " + reply.body());
    }
  }

  /** Sends a request to a loopback port and returns the response. */
  public JsonHttpClient.Reply send(
      HttpMethod method, int port, String path, ImmutableMap<String, String> headers, String body) {
    return client
        .send(method, HostAndPort.fromParts(HOST, port), path, headers, Buffer.buffer(body))
        .blockingGet();
  }

  /** Sends the bytes of a request to a loopback port and returns all bytes received in return. */
  public String sendRaw(int port, String request) throws Exception {
    try (RawClient rawClient = RawClient.create(vertx)) {
      return rawClient
          .send(port, request)
          .toCompletionStage()
          .toCompletableFuture()
          .get(CLIENT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Sets the value of a stand-in's fault. */
  public void fault(RunningStandIn standIn, String name, double value) {
    String body =
        JsonNodeFactory.instance.objectNode().put("name", name).put("value", value).toString();
    JsonHttpClient.Reply reply =
        send(HttpMethod.POST, standIn.port(), "/control/faults", ImmutableMap.of(), body);
    if (reply.status() >= 300) {
      throw new IllegalStateException("fault rejected: " + reply.body());
    }
  }

  /** Returns the state that a stand-in reports. */
  public JsonNode state(RunningStandIn standIn) {
    return send(HttpMethod.GET, standIn.port(), "/control/state", ImmutableMap.of(), "").json();
  }

  /** Returns the Vert.x instance, for requests that a test sends with its own client. */
  public Vertx vertx() {
    return vertx;
  }

  @Override
  public void close() throws Exception {
    client.close();
    for (AutoCloseable each : running) {
      each.close();
    }
    vertx.close().toCompletionStage().toCompletableFuture().get();
  }

  private String address(StandIns.Name name) {
    return HOST + ":" + platform.get(name).port();
  }
}
