package io.briarward.node.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.briarward.node.platform.PlatformException.Effect;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpMethod;

/** An HTTP client of the platform's VM list. */
public final class HttpVmList implements VmList {
  private static final int OK = 200;

  private final JsonHttpClient client;
  private final HostAndPort server;

  private HttpVmList(JsonHttpClient client, HostAndPort server) {
    this.client = client;
    this.server = server;
  }

  /** Returns a client of the VM list at {@code server}. */
  public static HttpVmList create(JsonHttpClient client, HostAndPort server) {
    return new HttpVmList(client, server);
  }

  @Override
  public Single<ImmutableList<Vm>> read() {
    return client.send(HttpMethod.GET, server, "/v1/vms").map(HttpVmList::toVms);
  }

  private static ImmutableList<Vm> toVms(JsonHttpClient.Reply reply) {
    if (reply.status() != OK) {
      throw new PlatformException(
          Effect.NONE, "VM list returned unexpected status " + reply.status());
    }
    ImmutableList.Builder<Vm> vms = ImmutableList.builder();
    reply.json().path("vms").forEach(node -> vms.add(toVm(node)));
    return vms.build();
  }

  private static Vm toVm(JsonNode node) {
    return new Vm(
        node.path("id").asText(),
        node.path("dataCentre").asText(),
        node.path("host").asText(),
        node.path("peerPort").asInt(),
        node.path("httpPort").asInt(),
        node.path("state").asText().equals("LEAVING"));
  }
}
