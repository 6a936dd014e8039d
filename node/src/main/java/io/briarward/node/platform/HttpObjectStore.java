package io.briarward.node.platform;

import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import com.google.common.net.UrlEscapers;
import io.briarward.node.platform.JsonHttpClient.Reply;
import io.briarward.node.platform.PlatformException.Effect;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;

/** An HTTP client of the platform's object store. */
public final class HttpObjectStore implements ObjectStore {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NO_CONTENT = 204;
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;

  private final JsonHttpClient client;
  private final HostAndPort server;

  private HttpObjectStore(JsonHttpClient client, HostAndPort server) {
    this.client = client;
    this.server = server;
  }

  /** Returns a client of the object store at {@code server}. */
  public static HttpObjectStore create(JsonHttpClient client, HostAndPort server) {
    return new HttpObjectStore(client, server);
  }

  @Override
  public Single<Boolean> putIfAbsent(String key, Buffer bytes) {
    ImmutableMap<String, String> headers = ImmutableMap.of("If-None-Match", "*");
    return client
        .send(HttpMethod.PUT, server, path(key), headers, bytes)
        .map(HttpObjectStore::wasCreated);
  }

  @Override
  public Single<Optional<Buffer>> get(String key) {
    return client.send(HttpMethod.GET, server, path(key)).map(HttpObjectStore::toObject);
  }

  @Override
  public Completable delete(String key) {
    return client
        .send(HttpMethod.DELETE, server, path(key))
        .doOnSuccess(
            reply -> {
              if (reply.status() != NO_CONTENT && reply.status() != NOT_FOUND) {
                throw unexpectedStatus(reply);
              }
            })
        .ignoreElement();
  }

  private static boolean wasCreated(Reply reply) {
    return switch (reply.status()) {
      case OK, CREATED, NO_CONTENT -> true;
      case PRECONDITION_FAILED -> false;
      default -> throw unexpectedStatus(reply);
    };
  }

  private static Optional<Buffer> toObject(Reply reply) {
    return switch (reply.status()) {
      case OK -> Optional.of(reply.body());
      case NOT_FOUND -> Optional.empty();
      default -> throw unexpectedStatus(reply);
    };
  }

  private static String path(String key) {
    return "/v1/objects/" + UrlEscapers.urlPathSegmentEscaper().escape(key);
  }

  private static PlatformException unexpectedStatus(Reply reply) {
    return new PlatformException(
        Effect.NONE, "object store returned unexpected status " + reply.status());
  }
}
