package io.briarward.node.platform;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.net.HostAndPort;
import io.briarward.core.platform.RowPage;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpTableServiceTest {
  private static final String ROW = "{\"key\":\"a\",\"version\":1,\"value\":7}";

  private final Vertx vertx = Vertx.vertx();
  private final JsonHttpClient client = JsonHttpClient.create(vertx, 5_000);
  private volatile String response = "";
  private HttpServer server;

  @BeforeEach
  void start() throws Exception {
    server =
        vertx
            .createHttpServer()
            .requestHandler(request -> request.response().end(response))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get();
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    vertx.close().toCompletionStage().toCompletableFuture().get();
  }

  private RowPage scan(String json) {
    response = json;
    HostAndPort address = HostAndPort.fromParts("127.0.0.1", server.actualPort());
    return HttpTableService.create(client, address).scan("t", "", "", 10).blockingGet();
  }

  @Test
  void pageIsTruncatedIfTheServiceSaysSo() {
    assertThat(scan("{\"rows\":[" + ROW + "],\"truncated\":true}").nextAfter()).hasValue("a");
    assertThat(scan("{\"rows\":[" + ROW + "],\"truncated\":false}").nextAfter()).isEmpty();
  }

  @Test
  void serviceThatDoesNotTellIsReadUntilPageIsEmpty() {
    assertThat(scan("{\"rows\":[" + ROW + "]}").nextAfter()).hasValue("a");
    assertThat(scan("{\"rows\":[]}").nextAfter()).isEmpty();
  }
}
