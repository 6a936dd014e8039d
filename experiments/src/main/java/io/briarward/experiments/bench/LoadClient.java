package io.briarward.experiments.bench;

import com.google.common.net.HostAndPort;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** A closed-loop load generator: each connection sends a request when the last was answered. */
final class LoadClient implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 8_192;
  private static final int OK = 200;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1_000;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final HttpClient client;
  private final String secret;

  LoadClient(String secret) {
    this.secret = secret;
    this.client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
  }

  /** Sends {@code count} requests and returns their latencies in microseconds. */
  Histogram run(HostAndPort server, String path, int count, int concurrency)
      throws InterruptedException {
    Histogram latencies = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    AtomicInteger remaining = new AtomicInteger(count);
    CountDownLatch done = new CountDownLatch(concurrency);
    for (int i = 0; i < concurrency; i++) {
      sendNext(server, path, remaining, latencies, done);
    }
    done.await();
    return latencies;
  }

  /** Opens a streamed completion; the future completes when the response headers arrive. */
  Future<HttpClientResponse> openStream(HostAndPort server, int maxTokens, int number) {
    String body =
        "{\"model\":\"m\",\"prompt\":\"stream %d\",\"max_tokens\":%d,\"seed\":%d,\"stream\":true}"
            .formatted(number, maxTokens, number);
    return client
        .request(options(server, "/v1/completions").setMethod(HttpMethod.POST))
        .compose(request -> request.send(Buffer.buffer(body)))
        .onSuccess(response -> response.handler(chunk -> {}));
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void sendNext(
      HostAndPort server,
      String path,
      AtomicInteger remaining,
      Histogram latencies,
      CountDownLatch done) {
    if (remaining.getAndDecrement() <= 0) {
      done.countDown();
      return;
    }
    long startNanos = System.nanoTime();
    client
        .request(options(server, path))
        .compose(HttpClientRequest::send)
        .compose(LoadClient::readBody)
        .onComplete(
            answer -> {
              if (answer.failed()) {
                throw new IllegalStateException("benchmark request failed", answer.cause());
              }
              latencies.recordValue((System.nanoTime() - startNanos) / NANOS_PER_MICRO);
              sendNext(server, path, remaining, latencies, done);
            });
  }

  private static Future<Buffer> readBody(HttpClientResponse response) {
    return response.statusCode() == OK
        ? response.body()
        : Future.failedFuture("expected status 200, received " + response.statusCode());
  }

  private RequestOptions options(HostAndPort server, String path) {
    return new RequestOptions()
        .setMethod(HttpMethod.GET)
        .setHost(server.getHost())
        .setPort(server.getPort())
        .setURI(path)
        .putHeader("Authorization", "Bearer " + secret);
  }
}
