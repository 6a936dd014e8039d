package io.briarward.node.serving;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.capacity.OrderMachine;
import io.briarward.core.capacity.UpstreamsRow;
import io.briarward.core.configuration.CapacityTarget;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.configuration.Partner;
import io.briarward.core.configuration.Route;
import io.briarward.core.configuration.Service;
import io.briarward.node.Node;
import io.briarward.node.platform.JsonHttpClient.Reply;
import io.briarward.node.testing.TestDeployment;
import io.briarward.standins.StandIns;
import io.briarward.standins.http.RunningStandIn;
import io.vertx.core.http.HttpMethod;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OrderedUpstreamsTest {
  private final TestDeployment deployment = TestDeployment.start();
  private RunningStandIn plain;
  private Node node;

  @BeforeEach
  void startNode() {
    plain = deployment.standIn(StandIns.Name.PLAIN, Map.of());
    node = deployment.node("vm-1");
    deployment.apply(node, configuration(), 0);
  }

  @AfterEach
  void stop() throws Exception {
    node.stop().blockingAwait();
    deployment.close();
  }

  @Test
  void orderedUpstreamServesUntilItIsMarkedAsLeaving() {
    publish(false);
    awaitStatus(200);

    publish(true);
    awaitStatus(503);

    final long before = executions();
    assertThat(get().status()).isEqualTo(503);
    assertThat(executions()).isEqualTo(before);
  }

  private void publish(boolean leaving) {
    UpstreamsRow row =
        new UpstreamsRow(
            ImmutableList.of(
                new UpstreamsRow.Entry(
                    "u-1", "order-desk", "127.0.0.1", plain.port(), false, leaving)));
    String body =
        "{\"conditions\":[],\"writes\":[{\"table\":\"%s\",\"key\":\"nadi\",\"value\":%s}]}"
            .formatted(OrderMachine.UPSTREAMS, row.toJson());
    Reply reply =
        deployment.send(
            HttpMethod.POST,
            deployment.platform(StandIns.Name.TABLE).port(),
            "/v1/transactions",
            ImmutableMap.of(),
            body);
    assertThat(reply.status()).isEqualTo(200);
  }

  private void awaitStatus(int status) {
    while (get().status() != status) {
      Thread.onSpinWait();
    }
  }

  private Reply get() {
    return deployment.send(HttpMethod.GET, node.httpPort(), "/orders/1", ImmutableMap.of(), "");
  }

  private long executions() {
    return deployment.state(plain).path("executions").asLong();
  }

  /** Returns a configuration with one service, which has no configured upstreams. */
  private static Configuration configuration() {
    return new Configuration(
        ImmutableList.of("nadi", "ba"),
        ImmutableList.of(new Partner("vatuwaqa", 0.5)),
        ImmutableList.of(new Organisation("mill", "vatuwaqa", 1, 100_000, 1_000)),
        ImmutableList.of(),
        ImmutableList.of(new Service("order-desk", Service.Kind.PLAIN, ImmutableList.of())),
        ImmutableList.of(
            new Route("*", "/orders", "order-desk", true, true, 60_000, 1, Optional.of("mill"))),
        ImmutableList.of(),
        ImmutableList.<CapacityTarget>of());
  }
}
