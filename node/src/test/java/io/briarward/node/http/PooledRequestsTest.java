package io.briarward.node.http;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClosedException;
import java.net.ConnectException;
import org.junit.jupiter.api.Test;

class PooledRequestsTest {
  private int openings;

  private Future<String> open(int closedConnections) {
    return PooledRequests.open(
        () ->
            openings++ < closedConnections
                ? Future.failedFuture(new HttpClosedException("Connection was closed"))
                : Future.succeededFuture("request"));
  }

  @Test
  void anotherConnectionReplacesClosedOne() {
    assertThat(open(1).result()).isEqualTo("request");
    assertThat(openings).isEqualTo(2);
  }

  @Test
  void serverThatClosesEveryConnectionIsGivenUp() {
    assertThat(open(Integer.MAX_VALUE).cause()).isInstanceOf(HttpClosedException.class);
    assertThat(openings).isEqualTo(4);
  }

  @Test
  void refusedConnectionIsNotRepeated() {
    Future<String> refused =
        PooledRequests.open(
            () -> {
              openings++;
              return Future.failedFuture(new ConnectException("Connection refused"));
            });
    assertThat(refused.cause()).isInstanceOf(ConnectException.class);
    assertThat(openings).isEqualTo(1);
  }
}
