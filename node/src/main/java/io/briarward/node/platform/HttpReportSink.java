package io.briarward.node.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import com.google.common.net.UrlEscapers;
import io.briarward.core.usage.SendOutcome;
import io.briarward.node.platform.JsonHttpClient.Reply;
import io.briarward.node.platform.PlatformException.Effect;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/** An HTTP client of the platform's report sink. */
public final class HttpReportSink implements ReportSink {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int CONFLICT = 409;

  private final JsonHttpClient client;
  private final HostAndPort server;

  private HttpReportSink(JsonHttpClient client, HostAndPort server) {
    this.client = client;
    this.server = server;
  }

  /** Returns a client of the report sink at {@code server}. */
  public static HttpReportSink create(JsonHttpClient client, HostAndPort server) {
    return new HttpReportSink(client, server);
  }

  @Override
  public Single<SendOutcome> send(
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
        .map(HttpReportSink::toOutcome);
  }

  private static SendOutcome toOutcome(Reply reply) {
    return switch (reply.status()) {
      case OK, CREATED -> SendOutcome.ACCEPTED;
      case CONFLICT -> toConflictOutcome(reply);
      default ->
          throw new PlatformException(
              Effect.NONE, "report sink returned unexpected status " + reply.status());
    };
  }

  private static SendOutcome toConflictOutcome(Reply reply) {
    boolean stale = reply.json().path("error").asText().equals("stale-fencing-number");
    return stale ? SendOutcome.STALE_FENCING_NUMBER : SendOutcome.DIFFERENT_FIGURES;
  }
}
