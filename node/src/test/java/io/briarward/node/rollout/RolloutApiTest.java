package io.briarward.node.rollout;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.configuration.Partner;
import io.briarward.core.configuration.RolloutPolicy;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.memory.BodyBudget;
import io.briarward.core.rollout.RolloutCodec;
import io.briarward.core.rollout.RolloutSpec;
import io.briarward.node.configuration.ConfigurationHolder;
import io.briarward.node.configuration.VersionedConfiguration;
import io.briarward.node.http.BodyReader;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.processors.PublishProcessor;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RolloutApiTest {
  private static final String SECRET = "trainer-secret";
  private static final long MAX_BODY_BYTES = 100_000;

  private final HttpClient client = HttpClient.newHttpClient();
  private Vertx vertx;
  private RolloutService service;
  private HttpServer server;

  @BeforeEach
  void start() {
    vertx = Vertx.vertx();
    Scheduler scheduler = Schedulers.from(task -> task.run());
    RolloutContext context =
        new RolloutContext(
            scheduler,
            RolloutStore.create(new MemoryTables(), new MemoryObjects()),
            (upstream, dispatch) ->
                new FakeCompletionClient(scheduler).complete(upstream, dispatch),
            selection -> Optional.empty(),
            usage -> Completable.complete(),
            "n1",
            System::currentTimeMillis,
            PublishProcessor.create());
    service = RolloutService.start(context, () -> 1);
    ConfigurationHolder holder = ConfigurationHolder.create();
    holder.update(new VersionedConfiguration(1, configuration()));
    RolloutApi api =
        new RolloutApi(
            service,
            new TrainerAuthentication(holder, () -> true),
            new BodyReader(
                Schedulers.computation(), 30_000, BodyBudget.of(1 << 16, 1 << 20, 1 << 25)),
            MAX_BODY_BYTES);
    server =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  request.pause();
                  api.handle(request);
                })
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
  }

  @AfterEach
  void stop() {
    service.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static Configuration configuration() {
    Upstream upstream = new Upstream("s1", "dc", "127.0.0.1", 1, false, true, 8);
    Service model = new Service("llm", Service.Kind.MODEL, ImmutableList.of(upstream));
    return new Configuration(
        ImmutableList.of("dc"),
        ImmutableList.of(new Partner("partner", 0)),
        ImmutableList.of(new Organisation("org", "partner", 1, 100, 100)),
        ImmutableList.of(
            key("trainer", SECRET, ApiKey.Scope.TRAIN),
            key("caller", "caller-secret", ApiKey.Scope.CALL)),
        ImmutableList.of(model),
        ImmutableList.of(),
        ImmutableList.of(new RolloutPolicy("p", "llm", 1, 60_000, 0.1)),
        ImmutableList.of());
  }

  private static ApiKey key(String id, String secret, ApiKey.Scope scope) {
    String sha256 = Hashing.sha256().hashString(secret, UTF_8).toString();
    return new ApiKey(id, "org", sha256, ImmutableSet.of(scope));
  }

  private HttpResponse<String> send(String method, String path, String secret, String body)
      throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + server.actualPort() + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("Authorization", "Bearer " + secret)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> submit(RolloutSpec spec) throws Exception {
    return send("POST", "/v1/rollouts", SECRET, new String(RolloutCodec.printSpec(spec), UTF_8));
  }

  @Test
  void repeatedSubmissionIsIdempotent() throws Exception {
    HttpResponse<String> created = submit(RolloutFixture.spec(2, 2));

    assertThat(created.statusCode()).isEqualTo(201);
    assertThat(created.body()).isEqualTo("{\"id\":\"r1\",\"state\":\"running\",\"groups\":2}");
    assertThat(submit(RolloutFixture.spec(2, 2)).statusCode()).isEqualTo(200);
    assertThat(submit(RolloutFixture.spec(3, 2)).statusCode()).isEqualTo(409);
  }

  @Test
  void keyWithoutTrainScopeIsRejected() throws Exception {
    HttpResponse<String> answer =
        send("POST", "/v1/weights", "caller-secret", "{\"service\":\"llm\",\"version\":2}");

    assertThat(answer.statusCode()).isEqualTo(403);
    assertThat(answer.body()).contains("not-run");
  }

  @Test
  void unknownFieldIsRejected() throws Exception {
    HttpResponse<String> answer =
        send("POST", "/v1/weights", SECRET, "{\"service\":\"llm\",\"version\":2,\"x\":1}");

    assertThat(answer.statusCode()).isEqualTo(400);
    assertThat(answer.body()).contains("x");
  }

  @Test
  void repeatedAnnouncementIsAccepted() throws Exception {
    String body = "{\"service\":\"llm\",\"version\":2}";

    assertThat(send("POST", "/v1/weights", SECRET, body).statusCode()).isEqualTo(202);
    assertThat(send("POST", "/v1/weights", SECRET, body).statusCode()).isEqualTo(202);
  }

  @Test
  void bodyContainingApiKeyIsRejected() throws Exception {
    String body = "{\"service\":\"" + SECRET + "\",\"version\":2}";

    assertThat(send("POST", "/v1/weights", SECRET, body).statusCode()).isEqualTo(400);
  }

  @Test
  void oversizedBodyIsRejected() throws Exception {
    String body = " ".repeat((int) MAX_BODY_BYTES + 1);

    assertThat(send("POST", "/v1/rollouts", SECRET, body).statusCode()).isEqualTo(413);
  }

  @Test
  void groupsOfUnknownRolloutAreNotFound() throws Exception {
    assertThat(send("GET", "/v1/rollouts/r9/groups?after=0", SECRET, "").statusCode())
        .isEqualTo(404);
  }

  @Test
  void cursorBeyondLastDeliveryIsRejected() throws Exception {
    submit(RolloutFixture.spec(1, 1));

    assertThat(send("GET", "/v1/rollouts/r1/groups?after=7", SECRET, "").statusCode())
        .isEqualTo(400);
  }

  @Test
  void responseWithoutNewGroupsKeepsCursor() throws Exception {
    submit(RolloutFixture.spec(1, 1));

    assertThat(send("GET", "/v1/rollouts/r1/groups?after=0", SECRET, "").body())
        .isEqualTo("{\"rollout\":\"r1\",\"cursor\":0,\"done\":false,\"groups\":[]}");
  }

  @Test
  void cancellationIsIdempotent() throws Exception {
    submit(RolloutFixture.spec(1, 1));

    assertThat(send("DELETE", "/v1/rollouts/r1", SECRET, "").statusCode()).isEqualTo(204);
    assertThat(send("DELETE", "/v1/rollouts/r1", SECRET, "").statusCode()).isEqualTo(204);
  }
}
