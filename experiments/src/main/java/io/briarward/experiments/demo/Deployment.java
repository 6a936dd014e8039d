package io.briarward.experiments.demo;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import io.briarward.experiments.demo.HttpCalls.Request;
import io.briarward.standins.http.Json;
import io.vertx.core.http.HttpMethod;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;

/** Configures the started processes as one deployment. */
final class Deployment {
  private static final long START_TIMEOUT_MILLIS = 60_000;
  private static final long POLL_MILLIS = 100;
  private static final int OK = 200;

  private final HttpCalls http;
  private final DemoSettings settings;

  Deployment(HttpCalls http, DemoSettings settings) {
    this.http = http;
    this.settings = settings;
  }

  /** Writes the VM list, applies the configuration and waits until every node has it. */
  void prepare(String configurationJson) throws InterruptedException {
    writeVmList();
    for (DemoSettings.NodePorts node : settings.nodes()) {
      awaitOk(Request.get(node.httpPort(), "/livez"));
    }
    Configuration configuration = withPorts(ConfigurationCodec.parse(configurationJson));
    int operatorPort = settings.nodes().get(0).operatorPort();
    http.sendForJson(
        new Request(
                HttpMethod.PUT,
                operatorPort,
                "/v1/configuration",
                ImmutableMap.of(),
                ConfigurationCodec.print(configuration))
            .withHeader("If-Match", "\"0\"")
            .withBearer(settings.operatorToken()));
    for (DemoSettings.NodePorts node : settings.nodes()) {
      awaitConfiguration(node);
    }
  }

  /** Publishes a weight version in the weight store. */
  void publishWeights(String service, long version) {
    String path = "/v1/weights/" + service + "/" + version;
    http.sendForJson(Request.of(HttpMethod.PUT, settings.weights(), path, Json.object()));
  }

  private void writeVmList() {
    ObjectNode body = Json.object();
    ArrayNode vms = body.putArray("vms");
    for (DemoSettings.NodePorts node : settings.nodes()) {
      vms.addObject()
          .put("id", node.id())
          .put("dataCentre", node.dataCentre())
          .put("host", "127.0.0.1")
          .put("peerPort", node.peerPort())
          .put("httpPort", node.httpPort())
          .put("state", "LIVE");
    }
    http.sendForJson(Request.of(HttpMethod.PUT, settings.vms(), "/control/vms", body));
  }

  private Configuration withPorts(Configuration example) {
    Iterator<Integer> engines = settings.engines().iterator();
    Iterator<Integer> plain = settings.plain().iterator();
    ImmutableList<Service> services =
        example.services().stream()
            .map(
                service ->
                    withPorts(service, service.kind() == Service.Kind.MODEL ? engines : plain))
            .collect(ImmutableList.toImmutableList());
    return new Configuration(
        example.dataCentres(),
        example.partners(),
        example.organisations(),
        example.keys(),
        services,
        example.routes(),
        example.rolloutPolicies(),
        example.capacityTargets());
  }

  private static Service withPorts(Service service, Iterator<Integer> ports) {
    ImmutableList<Upstream> upstreams =
        service.upstreams().stream()
            .map(upstream -> withPort(upstream, ports.next()))
            .collect(ImmutableList.toImmutableList());
    return new Service(service.id(), service.kind(), upstreams);
  }

  private static Upstream withPort(Upstream upstream, int port) {
    return new Upstream(
        upstream.id(),
        upstream.dataCentre(),
        upstream.host(),
        port,
        upstream.reclaimable(),
        upstream.checksFencing(),
        upstream.maxConcurrent());
  }

  /**
   * Waits until a node has a configuration of a version above 0.
   *
   * <p>The node's readiness doesn't show this, because a node is ready with the empty configuration
   * too.
   */
  private void awaitConfiguration(DemoSettings.NodePorts node) throws InterruptedException {
    Request status = Request.get(node.operatorPort(), "/v1/status");
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
    while (System.nanoTime() < deadlineNanos) {
      long version =
          http.sendForJson(status.withBearer(settings.operatorToken()))
              .path("configurationVersion")
              .asLong();
      if (version > 0) {
        return;
      }
      Thread.sleep(POLL_MILLIS);
    }
    throw new IllegalStateException(
        "node " + node.id() + " received no configuration before the deadline");
  }

  private void awaitOk(Request request) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
    while (System.nanoTime() < deadlineNanos) {
      int status =
          http.send(request).map(HttpCalls.Reply::status).onErrorReturnItem(0).blockingGet();
      if (status == OK) {
        return;
      }
      Thread.sleep(POLL_MILLIS);
    }
    throw new IllegalStateException(
        request.uri() + " on port " + request.port() + " did not return 200 in time");
  }
}
