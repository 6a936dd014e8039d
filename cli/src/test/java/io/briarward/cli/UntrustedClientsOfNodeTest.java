package io.briarward.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static io.briarward.standins.input.ClientLoad.bytes;
import static io.briarward.standins.input.ClientScripts.after;
import static io.briarward.standins.input.ClientScripts.bodyWithoutEnd;
import static io.briarward.standins.input.ClientScripts.chunkedBodyWithoutEnd;
import static io.briarward.standins.input.ClientScripts.endlessEmptyLines;
import static io.briarward.standins.input.ClientScripts.endlessHeaderLine;
import static io.briarward.standins.input.ClientScripts.headWithoutEnd;
import static io.briarward.standins.input.ClientScripts.manyHeaderLines;
import static io.briarward.standins.input.ClientScripts.oddHeaderLines;
import static io.briarward.standins.input.ClientScripts.pipelinedRequests;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.configuration.Partner;
import io.briarward.core.configuration.RolloutPolicy;
import io.briarward.core.configuration.Route;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.rollout.GroupSpec;
import io.briarward.core.rollout.RolloutCodec;
import io.briarward.core.rollout.RolloutSpec;
import io.briarward.core.rollout.SamplingParameters;
import io.briarward.standins.StandIns;
import io.briarward.standins.http.RunningStandIn;
import io.briarward.standins.input.ChildJvm;
import io.briarward.standins.input.ClientLoad;
import io.briarward.standins.input.ClientLoad.Script;
import io.briarward.standins.input.FreePorts;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against clients that end a {@code briarward node}: by its memory, by its descriptors, or
 * by keeping it from ordinary requests. The node runs as a process of its own with lowered limits.
 */
class UntrustedClientsOfNodeTest {
  private static final String HOST = "127.0.0.1";
  private static final String SECRET = "mill-secret";
  private static final String TRAINER_SECRET = "trainer-secret";
  private static final int OPEN_ROLLOUTS = 16;
  private static final int GROUPS_OF_ROLLOUT = 60_000;
  private static final String OPERATOR_TOKEN = "operator-token";
  private static final int HEAP_MIB = 64;
  private static final int DIRECT_MIB = 24;

  /** What the smallest VM of the target, 290 MB, leaves beside a heap of 96 MB and 48 MB. */
  private static final int OTHER_MEMORY_MIB = 146;

  private static final int MAX_DESCRIPTORS = 600;

  /** A node needs the rest for the platform, its upstreams and other nodes. */
  private static final int MAX_OPEN_DESCRIPTORS = 540;

  private static final int CONNECTIONS = 300;
  private static final int CONNECTIONS_WITH_BODIES = 40;
  private static final int BODY_BYTES = 4_000_000;
  private static final long LOAD_MILLIS = 4_000;
  private static final int MAX_POLLS = 600; // One minute, at 100 ms per poll.
  private static final long EXIT_SECONDS = 60;
  private static final String HEADERS =
      "Host: mill.example\r\nAuthorization: Bearer " + SECRET + "\r\n";
  private static final String START = "PUT /orders/7 HTTP/1.1\r\n" + HEADERS;
  private static final String REQUEST = "GET /orders/7 HTTP/1.1\r\n" + HEADERS + "\r\n";

  @TempDir private Path files;
  private final Vertx vertx = Vertx.vertx();
  private final HttpClient callers =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private ChildJvm child;
  private int httpPort;
  private int operatorPort;
  private int peerPort;
  private int mostDescriptors;

  /** One kind of client load. */
  private enum Load {
    MANY_HEADER_LINES(CONNECTIONS, manyHeaderLines(START)),
    HEADS_WITHOUT_END(CONNECTIONS, headWithoutEnd(START)),
    ODD_HEADER_LINES(CONNECTIONS, oddHeaderLines(START)),
    ENDLESS_HEADER_LINE(CONNECTIONS, endlessHeaderLine(START)),
    ENDLESS_EMPTY_LINES(CONNECTIONS, endlessEmptyLines()),
    BODIES_WITHOUT_END(CONNECTIONS_WITH_BODIES, bodyWithoutEnd(START, BODY_BYTES)),
    CHUNKED_BODIES_WITHOUT_END(
        CONNECTIONS_WITH_BODIES, chunkedBodyWithoutEnd(START, BODY_BYTES, 700)),
    KEPT_HEADS_WITHOUT_END(CONNECTIONS, after(REQUEST, headWithoutEnd(START))),
    PIPELINED_REQUESTS(CONNECTIONS_WITH_BODIES, pipelinedRequests(REQUEST));

    private final int connections;
    private final Script script;

    Load(int connections, Script script) {
      this.connections = connections;
      this.script = script;
    }
  }

  @BeforeEach
  void startChild() throws Exception {
    httpPort = FreePorts.next();
    operatorPort = FreePorts.next();
    peerPort = FreePorts.next();
    child =
        ChildJvm.start(
            ImmutableList.of(
                "-XX:-UsePerfData",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xms24m",
                "-Xmx" + HEAP_MIB + "m",
                "-Xss512k",
                "-XX:MaxMetaspaceSize=64m",
                "-XX:ReservedCodeCacheSize=24m",
                "-XX:MaxDirectMemorySize=" + DIRECT_MIB + "m",
                "-XX:+ExitOnOutOfMemoryError",
                "-Dio.netty.allocator.numHeapArenas=1",
                "-Dio.netty.allocator.numDirectArenas=1",
                "-Dio.netty.allocator.maxOrder=5"),
            MAX_DESCRIPTORS,
            files.resolve("child.log"),
            Map.of("BRIARWARD_LOG_LEVEL", "warn"),
            arguments());
    await(this::isUp);
    applyConfiguration();
    await(this::isServed);
  }

  @AfterEach
  void stopChild() throws Exception {
    child.close();
    vertx.close().toCompletionStage().toCompletableFuture().get();
  }

  private ImmutableList<String> arguments() {
    return ImmutableList.<String>builder()
        .add(Main.class.getName(), "node", "--vm-id", "vm-1", "--data-centre", "nadi")
        .add("--http-port", Integer.toString(httpPort))
        .add("--operator-port", Integer.toString(operatorPort))
        .add("--peer-port", Integer.toString(peerPort))
        .add("--stop-delay-millis", "0", "--stop-timeout-millis", "5000")
        .add("--operator-token-sha256", sha256(OPERATOR_TOKEN))
        .add("--table-service", standIn(StandIns.Name.TABLE))
        .add("--object-store", standIn(StandIns.Name.OBJECTS))
        .add("--upstream-orders", standIn(StandIns.Name.ORDERS))
        .add("--report-sink", standIn(StandIns.Name.REPORTS))
        .add("--vm-list", standIn(StandIns.Name.VMS))
        .build();
  }

  private String standIn(StandIns.Name name) {
    return HOST + ":" + start(name).port();
  }

  private RunningStandIn start(StandIns.Name name) {
    return StandIns.start(name, vertx, HOST, 0, ImmutableMap.of()).blockingGet();
  }

  private static String sha256(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  private void applyConfiguration() throws Exception {
    Configuration configuration =
        new Configuration(
            ImmutableList.of("nadi"),
            ImmutableList.of(new Partner("vatuwaqa", 0.5)),
            ImmutableList.of(new Organisation("mill", "vatuwaqa", 1, 1_000, 1_000)),
            ImmutableList.of(
                new ApiKey("k", "mill", sha256(SECRET), ImmutableSet.of(ApiKey.Scope.CALL)),
                new ApiKey(
                    "t", "mill", sha256(TRAINER_SECRET), ImmutableSet.of(ApiKey.Scope.TRAIN))),
            ImmutableList.of(
                new Service(
                    "order-desk",
                    Service.Kind.PLAIN,
                    ImmutableList.of(
                        new Upstream(
                            "plain",
                            "nadi",
                            HOST,
                            start(StandIns.Name.PLAIN).port(),
                            false,
                            true,
                            16))),
                new Service(
                    "llm",
                    Service.Kind.MODEL,
                    ImmutableList.of(
                        new Upstream("engine", "nadi", HOST, FreePorts.next(), false, true, 16)))),
            ImmutableList.of(
                new Route("*", "/orders", "order-desk", false, true, 60_000, 1, Optional.empty())),
            ImmutableList.of(new RolloutPolicy("p", "llm", 1, 600_000, 0.1)),
            ImmutableList.of());
    HttpRequest request =
        HttpRequest.newBuilder(uri(operatorPort, "/v1/configuration"))
            .header("Authorization", "Bearer " + OPERATOR_TOKEN)
            .header("If-Match", "\"0\"")
            .PUT(HttpRequest.BodyPublishers.ofString(ConfigurationCodec.print(configuration)))
            .build();
    HttpResponse<String> response = callers.send(request, HttpResponse.BodyHandlers.ofString());
    assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
  }

  private static URI uri(int port, String path) {
    return URI.create("http://" + HOST + ":" + port + path);
  }

  private int status(String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(uri(httpPort, path))
            .header("Authorization", "Bearer " + SECRET)
            .timeout(Duration.ofSeconds(20))
            .build();
    try {
      return callers.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException e) {
      return 0; // The process has not started to listen, or closed the connection.
    }
  }

  private boolean isUp() throws Exception {
    assertAlive();
    return status("/livez") == 200;
  }

  private boolean isServed() throws Exception {
    assertAlive();
    observe();
    return status("/orders/7") == 200;
  }

  private void assertAlive() {
    assertWithMessage("process lives: %s", child.lastOutput()).that(child.isAlive()).isTrue();
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  private static void await(Condition condition) throws Exception {
    for (int i = 0; i < MAX_POLLS; i++) {
      if (condition.holds()) {
        return;
      }
      Thread.sleep(100);
    }
    throw new AssertionError("condition is still false after " + MAX_POLLS + " polls");
  }

  private void observe() {
    mostDescriptors = Math.max(mostDescriptors, child.openDescriptors());
  }

  private void assertWithinBounds() throws Exception {
    assertAlive();
    assertThat(child.peakMemoryMib()).isAtMost(HEAP_MIB + DIRECT_MIB + OTHER_MEMORY_MIB);
    assertThat(mostDescriptors).isAtMost(MAX_OPEN_DESCRIPTORS);
  }

  private void assertServedDuringAndAfter(ClientLoad load) throws Exception {
    try (load) {
      load.run(LOAD_MILLIS, this::observe);
      assertWithinBounds();
      await(this::isServed); // With the connections of the clients still open.
      assertWithinBounds();
    }
    await(this::isServed);
    assertWithinBounds();
  }

  @ParameterizedTest
  @EnumSource
  void loadLeavesTheNodeServing(Load load) throws Exception {
    assertServedDuringAndAfter(ClientLoad.on(httpPort).add(load.connections, true, load.script));
  }

  @Test
  void moreConnectionsThanDescriptorsLeaveTheNodeServing() throws Exception {
    assertServedDuringAndAfter(
        ClientLoad.on(httpPort)
            .add(MAX_DESCRIPTORS, false, () -> ImmutableList.of(bytes("GET")).iterator()));
  }

  @Test
  void loadOnThePortForOperatorsLeavesTheNodeServing() throws Exception {
    assertServedDuringAndAfter(
        ClientLoad.on(operatorPort).add(CONNECTIONS, true, headWithoutEnd(START)));
  }

  /** Guards against messages of legal size on the port for peers that never arrive completely. */
  @Test
  void loadOnThePortForPeersLeavesTheNodeServing() throws Exception {
    byte[] length = {0, 0x3f, (byte) 0xff, 0};
    Script script = () -> ImmutableList.of(length, new byte[BODY_BYTES]).iterator();
    assertServedDuringAndAfter(ClientLoad.on(peerPort).add(CONNECTIONS_WITH_BODIES, true, script));
  }

  @Test
  void nodeStopsAsPlannedUnderLoad() throws Exception {
    try (ClientLoad load =
        ClientLoad.on(httpPort)
            .add(CONNECTIONS / 2, true, headWithoutEnd(START))
            .add(CONNECTIONS_WITH_BODIES, true, bodyWithoutEnd(START, BODY_BYTES))) {
      load.run(LOAD_MILLIS / 2, this::observe);
      assertWithinBounds();
      child.stop();
      load.run(LOAD_MILLIS / 2, this::observe);
      assertThat(child.awaitExit(EXIT_SECONDS)).isEqualTo(0);
    }
  }

  /** Guards against rollouts of legal size that a node keeps without a bound. */
  @Test
  void openRolloutsLeaveTheNodeServing() throws Exception {
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < OPEN_ROLLOUTS; i++) {
      HttpRequest request =
          HttpRequest.newBuilder(uri(httpPort, "/v1/rollouts"))
              .header("Authorization", "Bearer " + TRAINER_SECRET)
              .POST(HttpRequest.BodyPublishers.ofByteArray(rollout("r" + i)))
              .build();
      statuses.add(callers.send(request, HttpResponse.BodyHandlers.ofString()).statusCode());
      await(this::isServed);
    }
    assertWithinBounds();
    assertThat(statuses).contains(201);
    statuses.forEach(status -> assertThat(status).isAnyOf(201, 503));
  }

  private static byte[] rollout(String id) {
    ImmutableList<GroupSpec> groups =
        IntStream.range(0, GROUPS_OF_ROLLOUT)
            .mapToObj(i -> new GroupSpec("g" + i, "x", 1, new SamplingParameters(1, 1, 1)))
            .collect(ImmutableList.toImmutableList());
    return RolloutCodec.printSpec(
        new RolloutSpec(id, "llm", "p", 0, groups, Optional.empty(), Optional.empty()));
  }
}
