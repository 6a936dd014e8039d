package io.briarward.node.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import com.google.common.net.UrlEscapers;
import io.briarward.node.platform.PlatformException.Effect;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/** The report sink over HTTP. */
public final class HttpReportSink implements ReportSink {
  private static final int OK = 200;
  private static final int CREATED = 201;

  private final JsonHttpClient client;
  private final HostAndPort server;

  private HttpReportSink(JsonHttpClient client, HostAndPort server) {
    this.client = client;
    this.server = server;
  }

  /** Returns a client of the sink at {@code server}. */
  public static HttpReportSink create(JsonHttpClient client, HostAndPort server) {
    return new HttpReportSink(client, server);
  }

  @Override
  public Completable send(
      String organisation, long windowStartMillis, JsonNode figures, long fencingNumber) {
    String path =
        "/v1/reports/"
            + UrlEscapers.urlPathSegmentEscaper().escape(organisation)
            + "/"
            + windowStartMillis;
    ImmutableMap<String, String> headers =
        ImmutableMap.of(
            "Content-Type", "application/json", "Fencing-Number", Long.toString(fencingNumber));
    return client
        .send(HttpMethod.PUT, server, path, headers, Buffer.buffer(figures.toString()))
        .doOnSuccess(
            reply -> {
              if (reply.status() != OK && reply.status() != CREATED) {
                throw new PlatformException(Effect.NONE, "report sink answered " + reply.status());
              }
            })
        .ignoreElement();
  }
}
