package io.briarward.node.weights;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.net.HostAndPort;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.weights.SwapOrder;
import io.briarward.node.platform.JsonHttpClient;
import io.briarward.node.platform.JsonHttpClient.Reply;
import io.briarward.node.platform.PlatformException;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import java.util.OptionalLong;

/** Reads the load reports of samplers and sends them orders over HTTP. */
final class HttpSamplerControl implements SamplerControl {
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final long NO_VERSION = 0;

  private final JsonHttpClient client;

  private HttpSamplerControl(JsonHttpClient client) {
    this.client = client;
  }

  static HttpSamplerControl create(JsonHttpClient client) {
    return new HttpSamplerControl(client);
  }

  @Override
  public Single<LoadReport> readLoadReport(Upstream sampler) {
    return client
        .send(HttpMethod.GET, address(sampler), "/v1/load")
        .map(reply -> parse(expectStatus(reply, OK).json()));
  }

  @Override
  public Completable orderSwap(
      Upstream sampler, SwapOrder order, String service, Optional<Upstream> source) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("kind", "LOAD_WEIGHTS");
    body.put("service", service);
    body.put("version", order.version());
    body.put("fencingNumber", order.fencingNumber());
    source.ifPresent(from -> body.put("sourceHost", from.host()).put("sourcePort", from.port()));
    return client
        .send(HttpMethod.POST, address(sampler), "/v1/orders", body)
        .map(reply -> expectStatus(reply, ACCEPTED))
        .ignoreElement();
  }

  private static LoadReport parse(JsonNode report) {
    long loading = report.path("loadingVersion").asLong(NO_VERSION);
    return new LoadReport(
        report.path("weightVersion").asLong(),
        loading == NO_VERSION ? OptionalLong.empty() : OptionalLong.of(loading),
        report.path("running").asInt());
  }

  private static Reply expectStatus(Reply reply, int status) {
    if (reply.status() != status) {
      throw new PlatformException(
          PlatformException.Effect.NONE, "sampler responded with status " + reply.status());
    }
    return reply;
  }

  private static HostAndPort address(Upstream sampler) {
    return HostAndPort.fromParts(sampler.host(), sampler.port());
  }
}
