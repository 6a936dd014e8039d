package io.briarward.node.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import io.briarward.core.json.JsonTrees;
import io.briarward.node.http.HttpClients;
import io.briarward.node.http.PooledRequests;
import io.briarward.node.http.ResponseBodies;
import io.briarward.node.platform.PlatformException.Effect;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP client of the platform's interfaces that buffers request and response bodies in memory.
 *
 * <p>A request fails with a {@link PlatformException} if the connection cannot be opened or is
 * closed, or if the time-out expires.
 */
public final class JsonHttpClient implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_CONNECTIONS_PER_HOST = 16;
  private static final int MAX_WAITING_REQUESTS = 256;

  /** The largest object of the platform's store, 8 MiB, and some room. */
  private static final long MAX_BODY_BYTES = 9 << 20;

  /**
   * A response that is still incomplete after this many time-outs is abandoned, though its bytes
   * arrive steadily; large objects take several over a slow link.
   */
  private static final int MAX_TIMEOUTS = 4;

  private final HttpClient client;
  private final long timeoutMillis;
  private final long maxBodyBytes;

  private JsonHttpClient(HttpClient client, long timeoutMillis, long maxBodyBytes) {
    this.client = client;
    this.timeoutMillis = timeoutMillis;
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Returns a client whose requests time out after {@code timeoutMillis}, for responses as large as
   * the objects of the platform's store.
   */
  public static JsonHttpClient create(Vertx vertx, long timeoutMillis) {
    return create(vertx, timeoutMillis, MAX_BODY_BYTES);
  }

  /**
   * Returns a client whose requests time out after {@code timeoutMillis}.
   *
   * @param maxBodyBytes the largest response body; a request fails if its response is larger
   */
  public static JsonHttpClient create(Vertx vertx, long timeoutMillis, long maxBodyBytes) {
    HttpClientOptions options =
        new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setKeepAlive(true);
    PoolOptions pool =
        new PoolOptions()
            .setHttp1MaxSize(MAX_CONNECTIONS_PER_HOST)
            .setMaxWaitQueueSize(MAX_WAITING_REQUESTS);
    return new JsonHttpClient(
        HttpClients.create(vertx, options, pool), timeoutMillis, maxBodyBytes);
  }

  /**
   * A response whose body has been read completely.
   *
   * @param status the HTTP status code
   * @param headers the response headers
   * @param body the response body
   */
  public record Reply(int status, MultiMap headers, Buffer body) {
    /**
     * Returns the body parsed as JSON.
     *
     * @throws PlatformException if the body is not JSON
     */
    public JsonNode json() {
      return parse(body);
    }
  }

  /** Sends a request without a body. */
  public Single<Reply> send(HttpMethod method, HostAndPort server, String path) {
    return send(method, server, path, ImmutableMap.of(), Buffer.buffer());
  }

  /** Sends a request with a JSON body. */
  public Single<Reply> send(HttpMethod method, HostAndPort server, String path, JsonNode body) {
    ImmutableMap<String, String> headers = ImmutableMap.of("Content-Type", "application/json");
    return send(method, server, path, headers, Buffer.buffer(JsonTrees.write(body)));
  }

  /** Sends a request with headers and a body. */
  public Single<Reply> send(
      HttpMethod method,
      HostAndPort server,
      String path,
      ImmutableMap<String, String> headers,
      Buffer body) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(server.getHost())
            .setPort(server.getPort())
            .setURI(path)
            .setTimeout(timeoutMillis)
            .setIdleTimeout(timeoutMillis);
    headers.forEach(options::putHeader);
    return Single.create(
        emitter ->
            PooledRequests.open(client, options)
                .recover(e -> Future.failedFuture(toPlatformException(Effect.NONE, server, e)))
                .compose(request -> exchange(request, body, server))
                .onSuccess(emitter::onSuccess)
                .onFailure(emitter::tryOnError));
  }

  /**
   * Returns {@code body} parsed as JSON.
   *
   * @throws PlatformException if it is not JSON
   */
  public static JsonNode parse(Buffer body) {
    try {
      return JsonTrees.lenient().read(body.toString());
    } catch (JsonProcessingException e) {
      throw new PlatformException(Effect.UNKNOWN, "body is not JSON: " + e.getOriginalMessage());
    }
  }

  @Override
  public void close() {
    client.close();
  }

  private Future<Reply> readReply(HttpClientRequest request, HttpClientResponse response) {
    return ResponseBodies.read(request, response, maxBodyBytes)
        .map(bytes -> new Reply(response.statusCode(), response.headers(), bytes));
  }

  private Future<Reply> exchange(HttpClientRequest request, Buffer body, HostAndPort server) {
    return request
        .send(body)
        .compose(response -> readReply(request, response))
        .timeout(MAX_TIMEOUTS * timeoutMillis, TimeUnit.MILLISECONDS)
        .onFailure(unused -> request.reset())
        .recover(e -> Future.failedFuture(toPlatformException(Effect.UNKNOWN, server, e)));
  }

  private static PlatformException toPlatformException(
      Effect effect, HostAndPort server, Throwable cause) {
    return cause instanceof PlatformException known
        ? known
        : new PlatformException(effect, server + ": " + cause.getMessage());
  }
}
