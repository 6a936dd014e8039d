package io.briarward.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Bytes;
import com.google.common.primitives.Ints;
import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.configuration.Partner;
import io.briarward.core.configuration.Route;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import io.briarward.node.peer.NettyPeerNetwork;
import io.briarward.node.peer.PeerSettings;
import io.briarward.node.testing.TestDeployment;
import io.briarward.standins.StandIns;
import io.briarward.standins.http.RunningStandIn;
import io.briarward.standins.input.FreePorts;
import io.briarward.standins.input.RandomChanges;
import io.briarward.standins.input.RawClient;
import io.briarward.wire.proto.AdmissionMessage;
import io.briarward.wire.proto.ConfigurationDigest;
import io.briarward.wire.proto.ConfigurationMessage;
import io.briarward.wire.proto.LimitAmount;
import io.briarward.wire.proto.LimitGrant;
import io.briarward.wire.proto.LimitReport;
import io.briarward.wire.proto.MemberStatement;
import io.briarward.wire.proto.MembershipMessage;
import io.briarward.wire.proto.PeerMessage;
import io.briarward.wire.proto.ServiceLoad;
import io.briarward.wire.proto.UsageCopy;
import io.briarward.wire.proto.UsageCopyAck;
import io.briarward.wire.proto.UsageCounter;
import io.briarward.wire.proto.UsageMessage;
import io.briarward.wire.proto.WholeConfiguration;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.http.HttpMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Sends damaged requests and peer messages to a node, which rejects them and goes on. More seeds:
 * {@code -Dbriarward.seed=N -Dbriarward.rounds=N}.
 */
class RandomInputTest {
  private static final long SEED = Long.getLong("briarward.seed", 24);
  private static final int ROUNDS = Integer.getInteger("briarward.rounds", 4);
  private static final int CONNECTIONS_PER_ROUND = 60;
  private static final int MESSAGES_PER_CONNECTION = 5;

  /** How long a connection is kept, in milliseconds. */
  private static final long CONNECTION_MILLIS = 400;

  private static final String SECRET = "mill-secret";
  private static final String HEADERS =
      "Host: mill.example\r\nAuthorization: Bearer " + SECRET + "\r\n";
  private static final ImmutableList<String> REQUESTS =
      ImmutableList.of(
          "GET /orders/9 HTTP/1.1\r\n" + HEADERS + "\r\n",
          "POST /orders HTTP/1.1\r\n" + HEADERS + "Content-Length: 3\r\n\r\nabc",
          "POST /orders HTTP/1.1\r\n"
              + HEADERS
              + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
          "POST /v1/rollouts HTTP/1.1\r\n" + HEADERS + "Content-Length: 12\r\n\r\n{\"groups\":1}",
          "GET /v1/rollouts/r1/groups?after=%31 HTTP/1.1\r\n" + HEADERS + "\r\n",
          "PUT /v1/configuration HTTP/1.1\r\n"
              + HEADERS
              + "If-Match: \"1\"\r\nContent-Length: 2\r\n\r\n{}",
          "OPTIONS * HTTP/1.1\r\n" + HEADERS + "\r\n");

  private final TestDeployment deployment = TestDeployment.start();
  private final Random random = new Random(SEED);
  private final RawClient rawClient = RawClient.create(deployment.vertx());
  private int peerPort;
  private Node node;

  @BeforeEach
  void startNode() throws Exception {
    peerPort = FreePorts.next();
    RunningStandIn plain = deployment.standIn(StandIns.Name.PLAIN, Map.of());
    node = deployment.node("vm-1", peerPort);
    deployment.apply(node, configuration(plain.port()), 0);
  }

  @AfterEach
  void stop() throws Exception {
    rawClient.close();
    node.stop().blockingAwait();
    deployment.close();
  }

  private static Configuration configuration(int upstreamPort) {
    String sha256 = Hashing.sha256().hashString(SECRET, StandardCharsets.UTF_8).toString();
    return new Configuration(
        ImmutableList.of("nadi"),
        ImmutableList.of(new Partner("vatuwaqa", 0.5)),
        ImmutableList.of(new Organisation("mill", "vatuwaqa", 1, 1_000, 1_000)),
        ImmutableList.of(new ApiKey("k", "mill", sha256, ImmutableSet.of(ApiKey.Scope.CALL))),
        ImmutableList.of(
            new Service(
                "order-desk",
                Service.Kind.PLAIN,
                ImmutableList.of(
                    new Upstream("plain", "nadi", "127.0.0.1", upstreamPort, false, true, 16)))),
        ImmutableList.of(
            new Route("*", "/orders", "order-desk", false, true, 60_000, 1, Optional.empty())),
        ImmutableList.of(),
        ImmutableList.of());
  }

  private List<String> sendRound(int port, List<byte[]> inputs) throws Exception {
    return rawClient
        .sendAll(port, inputs, CONNECTION_MILLIS)
        .toCompletionStage()
        .toCompletableFuture()
        .get(30, TimeUnit.SECONDS);
  }

  private void assertServes(int round) {
    int status =
        deployment
            .send(
                HttpMethod.GET,
                node.httpPort(),
                "/orders/7",
                ImmutableMap.of("Authorization", "Bearer " + SECRET),
                "")
            .status();
    assertWithMessage("seed %s, round %s", SEED, round).that(status).isEqualTo(200);
  }

  private void sendDamagedRequests(int port) throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      List<byte[]> sent = new ArrayList<>();
      for (int i = 0; i < CONNECTIONS_PER_ROUND; i++) {
        sent.add(RandomChanges.damage(REQUESTS.get(random.nextInt(REQUESTS.size())), random));
      }
      List<String> responses = sendRound(port, sent);
      for (int i = 0; i < sent.size(); i++) {
        String request = new String(sent.get(i), StandardCharsets.ISO_8859_1);
        if (!responses.get(i).isEmpty()) {
          // The protocol may be the damaged one of the request; the status is always there.
          assertWithMessage(request)
              .that(responses.get(i))
              .containsMatch("^[^ \r\n]+ [1-5][0-9][0-9] ");
          assertWithMessage(request).that(responses.get(i)).doesNotContainMatch("^[^ \r\n]+ 500 ");
        }
      }
      assertServes(round);
    }
  }

  @Test
  void damagedRequestsOfCallersAreRejected() throws Exception {
    sendDamagedRequests(node.httpPort());
  }

  @Test
  void damagedRequestsOfOperatorsAreRejected() throws Exception {
    sendDamagedRequests(node.operatorPort());
  }

  private long number() {
    return switch (random.nextInt(4)) {
      case 0 -> random.nextLong();
      case 1 -> Long.MAX_VALUE;
      case 2 -> -1;
      default -> random.nextInt(10);
    };
  }

  private float amount() {
    return switch (random.nextInt(5)) {
      case 0 -> Float.NaN;
      case 1 -> Float.POSITIVE_INFINITY;
      case 2 -> -random.nextFloat();
      case 3 -> Float.intBitsToFloat(random.nextInt());
      default -> random.nextFloat() * 100;
    };
  }

  private String text() {
    ImmutableList<String> texts =
        ImmutableList.of(
            "", "vm-1", "vm-2", "mill", "order-desk", "nadi", "{}", "[1", "\u0000\uffff");
    return random.nextInt(20) == 0 ? "x".repeat(10_000) : texts.get(random.nextInt(texts.size()));
  }

  private LimitAmount.Builder limitAmount() {
    return LimitAmount.newBuilder().setRequestsPerSecond(amount()).setConcurrent(amount());
  }

  private ConfigurationDigest.Builder digest() {
    return ConfigurationDigest.newBuilder()
        .setVersionPlusOne(number())
        .setEvidenceAgeMillis(number())
        .setSettled(random.nextBoolean());
  }

  private void setMembership(PeerMessage.Builder message) {
    message.setMembership(
        MembershipMessage.newBuilder()
            .setKindValue(random.nextInt(7) - 1)
            .setSequence(number())
            .setSubject(text())
            .addStatements(
                MemberStatement.newBuilder()
                    .setVmId(text())
                    .setStateValue(random.nextInt(6) - 1)
                    .setIncarnation(number()))
            .setDigest(digest()));
  }

  private void setConfiguration(PeerMessage.Builder message) {
    message.setConfiguration(
        ConfigurationMessage.newBuilder()
            .setKindValue(random.nextInt(6) - 1)
            .setDigest(digest())
            .setAfterVersionPlusOne(number())
            .addDeltas(text())
            .setWhole(
                WholeConfiguration.newBuilder()
                    .setVersion(number())
                    .setJson(text())
                    .setChecksum(text())));
  }

  private void setUsage(PeerMessage.Builder message) {
    message.setUsage(
        random.nextBoolean()
            ? UsageMessage.newBuilder().setAck(UsageCopyAck.newBuilder().setSequence(number()))
            : UsageMessage.newBuilder()
                .setCopy(
                    UsageCopy.newBuilder()
                        .setIncarnation(text())
                        .setAfterSequence(number())
                        .setSequence(number())
                        .setFlushedSequence(number())
                        .addCounters(
                            UsageCounter.newBuilder()
                                .setWindowStartMillis(number())
                                .setOrganisation(text())
                                .setService(text())
                                .setKind(text())
                                .setRequests(number())
                                .setSequence(number()))));
  }

  private void setAdmission(PeerMessage.Builder message) {
    message.setAdmission(
        AdmissionMessage.newBuilder()
            .addReports(
                LimitReport.newBuilder()
                    .setLimitId(text())
                    .setSequence(number())
                    .setTotal(limitAmount())
                    .setDemand(limitAmount())
                    .setHeld(limitAmount()))
            .addGrants(
                LimitGrant.newBuilder()
                    .setLimitId(text())
                    .setSequence(number())
                    .setShare(limitAmount()))
            .setDataCentre(text())
            .addLoads(
                ServiceLoad.newBuilder()
                    .setService(text())
                    .setOutstanding(amount())
                    .setSlots(amount())
                    .setMinWeightVersion(number())));
  }

  private PeerMessage peerMessage() {
    PeerMessage.Builder message =
        PeerMessage.newBuilder()
            .setSenderVmId(text())
            .setCorrelationId(number())
            .setAnswer(random.nextInt(4) == 0);
    // The fifth kind is a message of a type that this version does not know.
    ImmutableList<Consumer<PeerMessage.Builder>> kinds =
        ImmutableList.of(
            this::setMembership,
            this::setConfiguration,
            this::setUsage,
            this::setAdmission,
            unknown -> {});
    kinds.get(random.nextInt(kinds.size())).accept(message);
    return message.build();
  }

  private byte[] frames(Function<byte[], byte[]> contents) {
    byte[] frames = {};
    for (int i = 0; i < MESSAGES_PER_CONNECTION; i++) {
      byte[] content = contents.apply(peerMessage().toByteArray());
      frames = Bytes.concat(frames, Ints.toByteArray(content.length), content);
    }
    return frames;
  }

  private void assertAnswersPeers(int round) {
    InetSocketAddress own = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (NettyPeerNetwork peer =
        NettyPeerNetwork.create(PeerSettings.of("vm-9", "vm-9-a", own), Schedulers.computation())) {
      peer.setAddresses(
          ImmutableMap.of(
              "vm-1", new InetSocketAddress(InetAddress.getLoopbackAddress(), peerPort)));
      PeerMessage request =
          PeerMessage.newBuilder()
              .setConfiguration(
                  ConfigurationMessage.newBuilder().setKind(ConfigurationMessage.Kind.REQUEST))
              .build();
      PeerMessage answer = peer.request("vm-1", request, 5_000).blockingGet();
      assertWithMessage("seed %s, round %s", SEED, round)
          .that(answer.getConfiguration().getWhole().getVersion())
          .isEqualTo(1);
    }
  }

  private void sendToPeerPort(Function<byte[], byte[]> contents) throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      List<byte[]> sent = new ArrayList<>();
      for (int i = 0; i < CONNECTIONS_PER_ROUND; i++) {
        sent.add(frames(contents));
      }
      assertThat(sendRound(peerPort, sent)).hasSize(CONNECTIONS_PER_ROUND);
      assertServes(round);
      assertAnswersPeers(round);
    }
  }

  @Test
  void messagesOfPeersWithRandomValuesDoNotDisturbCallers() throws Exception {
    sendToPeerPort(content -> content);
  }

  @Test
  void damagedMessagesOfPeersDoNotDisturbCallers() throws Exception {
    sendToPeerPort(
        content ->
            content.length < 3
                ? new byte[] {1, 2, 3}
                : RandomChanges.damage(new String(content, StandardCharsets.ISO_8859_1), random));
  }
}
