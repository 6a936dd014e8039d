package io.briarward.node.live;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.configuration.Partner;
import io.briarward.core.configuration.Route;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import io.briarward.node.Node;
import io.briarward.node.testing.TestDeployment;
import io.briarward.standins.input.BrokenResponses;
import io.briarward.standins.input.RawResponses;
import io.briarward.standins.input.RawServer;
import io.briarward.standins.input.RawServer.Ending;
import io.briarward.standins.input.RawServer.Script;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses of upstreams in trouble that callers get as whole successes. */
class BrokenResponseTest {
  private static final String SECRET = "mill-secret";
  private static final String HEAD = "HTTP/1.1 200 OK\r\n";
  private static final String RUN_UNKNOWN = "\"run\":\"unknown\"";
  private static final ImmutableList<String> PARTS =
      ImmutableList.of(
          HEAD + "\r\n",
          HEAD + "\r\nhello",
          HEAD + "Content-Length: 6\r\n\r\nhello",
          HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  private static final ImmutableList<Long> DELAYS_MILLIS = ImmutableList.of(0L, 30L);

  private final TestDeployment deployment = TestDeployment.start();
  private Node node;

  @BeforeEach
  void startNode() {
    node = deployment.node("vm-1");
  }

  @AfterEach
  void stop() throws Exception {
    node.stop().blockingAwait();
    deployment.close();
  }

  private void configure(RawServer upstream) {
    String sha256 = Hashing.sha256().hashString(SECRET, StandardCharsets.UTF_8).toString();
    Upstream entry = new Upstream("desk-1", "nadi", "127.0.0.1", upstream.port(), false, true, 16);
    Configuration configuration =
        new Configuration(
            ImmutableList.of("nadi"),
            ImmutableList.of(new Partner("vatuwaqa", 0.5)),
            ImmutableList.of(new Organisation("mill", "vatuwaqa", 1, 1_000, 1_000)),
            ImmutableList.of(new ApiKey("k", "mill", sha256, ImmutableSet.of(ApiKey.Scope.CALL))),
            ImmutableList.of(
                new Service("order-desk", Service.Kind.PLAIN, ImmutableList.of(entry))),
            ImmutableList.of(route("/orders", false), route("/lookups", true)),
            ImmutableList.of(),
            ImmutableList.of());
    deployment.apply(node, configuration, 0);
  }

  private static Route route(String prefix, boolean idempotent) {
    return new Route("*", prefix, "order-desk", false, idempotent, 60_000, 1, Optional.empty());
  }

  private String post(String path, int bodyBytes) throws Exception {
    String request =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: mill\r\nConnection: close\r\nAuthorization: Bearer "
            + SECRET
            + "\r\nContent-Length: "
            + bodyBytes
            + "\r\n\r\n"
            + "q".repeat(bodyBytes);
    return deployment.sendRaw(node.httpPort(), request);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/orders", "/lookups"})
  void brokenResponseIsFailure(String path) throws Exception {
    ImmutableList<String> responses = BrokenResponses.all("");
    int[] next = {0};
    List<String> wrong = new ArrayList<>();
    try (RawServer upstream = RawServer.start(unused -> Script.respond(responses.get(next[0])))) {
      configure(upstream);
      for (next[0] = 0; next[0] < responses.size(); next[0]++) {
        String response = post(path, 1);
        boolean failure = response.startsWith("HTTP/1.1 50") && response.contains(RUN_UNKNOWN);
        if (!failure || response.contains("hello")) {
          wrong.add(response + " for " + responses.get(next[0]));
        }
      }
    }
    assertWithMessage(String.join("\n---\n", wrong)).that(wrong).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"/orders", "/lookups"})
  void responseWhoseConnectionIsResetNeverLooksWhole(String path) throws Exception {
    int[] next = {0};
    long[] delayMillis = {0};
    List<String> whole = new ArrayList<>();
    try (RawServer upstream =
        RawServer.start(
            unused -> new Script(PARTS.get(next[0]), false, delayMillis[0], Ending.RESET))) {
      configure(upstream);
      for (next[0] = 0; next[0] < PARTS.size(); next[0]++) {
        for (long delay : DELAYS_MILLIS) {
          delayMillis[0] = delay;
          for (int bodyBytes : new int[] {1, 200 << 10, 7 << 20}) {
            String response = post(path, bodyBytes);
            if (RawResponses.isWholeSuccess(response)) {
              whole.add(bodyBytes + " bytes, " + delay + " ms: " + response);
            }
          }
        }
      }
    }
    assertWithMessage(String.join("\n---\n", whole)).that(whole).isEmpty();
  }

  @Test
  void responseWithoutLengthWhoseConnectionEndsIsWhole() throws Exception {
    try (RawServer upstream =
        RawServer.start(unused -> new Script(HEAD + "\r\nhello", false, 0, Ending.CLOSE))) {
      configure(upstream);
      for (int bodyBytes : new int[] {1, 200 << 10, 7 << 20}) {
        String response = post("/orders", bodyBytes);
        assertWithMessage(response).that(RawResponses.isWholeSuccess(response)).isTrue();
        assertThat(response).contains("hello");
      }
    }
  }
}
