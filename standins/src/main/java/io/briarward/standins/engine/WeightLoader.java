package io.briarward.standins.engine;

import io.briarward.standins.http.Address;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.Timer;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;

/**
 * Fetches and loads weights; a later load supersedes an unfinished one.
 *
 * <p>Confined to the engine's event loop.
 */
final class WeightLoader implements AutoCloseable {
  private static final long RETRY_DELAY_MILLIS = 250;
  private static final int MAX_ATTEMPTS = 240;
  private static final int TOO_MANY_REQUESTS = 429;

  private final EngineSettings settings;
  private final Faults faults;
  private final Timer timer;
  private final HttpClient client;
  private long weightVersion;
  private long loadingVersion;
  private long loadNumber;
  private Buffer weights = Buffer.buffer();
  private long failures;

  WeightLoader(Vertx vertx, Timer timer, EngineSettings settings, Faults faults) {
    this.settings = settings;
    this.faults = faults;
    this.timer = timer;
    this.client = vertx.createHttpClient();
    this.weightVersion = settings.weightVersion();
  }

  /** Returns the weight version in use. */
  long weightVersion() {
    return weightVersion;
  }

  /** Returns the weight version being loaded, or 0 if none is. */
  long loadingVersion() {
    return loadingVersion;
  }

  /** Returns the number of failed loads. */
  long failures() {
    return failures;
  }

  /** Returns the weights of {@code version}, or empty if another version is in use. */
  Optional<Buffer> weights(long version) {
    return version == weightVersion ? Optional.of(weights) : Optional.empty();
  }

  /**
   * Starts to load a version, unless it is in use or being loaded.
   *
   * @param source where to fetch the weights from, or empty to use the configured weight store
   */
  void load(long version, Optional<Address> source) {
    if (version == loadingVersion || (loadingVersion == 0 && version == weightVersion)) {
      return;
    }
    loadNumber++;
    loadingVersion = version;
    Optional<Address> from = source.or(settings::weightStore);
    if (from.isPresent()) {
      fetch(new Load(loadNumber, version, from.get()), 1);
    } else {
      scheduleSwap(loadNumber, version, Buffer.buffer());
    }
  }

  /** Abandons an unfinished load and returns to the initial version. */
  void reset() {
    loadNumber++;
    loadingVersion = 0;
    weightVersion = settings.weightVersion();
    weights = Buffer.buffer();
  }

  @Override
  public void close() {
    client.close();
  }

  private record Load(long number, long version, Address source) {}

  private void fetch(Load load, int attempt) {
    if (load.number() != loadNumber) {
      return;
    }
    String path = "/v1/weights/" + settings.service() + "/" + load.version();
    client
        .request(HttpMethod.GET, load.source().port(), load.source().host(), path)
        .compose(request -> request.send())
        .onSuccess(response -> receive(load, attempt, response))
        .onFailure(unused -> retryOrFail(load, attempt));
  }

  private void receive(Load load, int attempt, HttpClientResponse response) {
    if (response.statusCode() == 200) {
      response
          .body()
          .onSuccess(bytes -> scheduleSwap(load.number(), load.version(), bytes))
          .onFailure(unused -> retryOrFail(load, attempt));
    } else if (response.statusCode() >= TOO_MANY_REQUESTS) {
      retryOrFail(load, attempt);
    } else {
      fail(load.number());
    }
  }

  private void retryOrFail(Load load, int attempt) {
    if (attempt >= MAX_ATTEMPTS) {
      fail(load.number());
      return;
    }
    timer.scheduleMillis(RETRY_DELAY_MILLIS, () -> fetch(load, attempt + 1));
  }

  private void scheduleSwap(long number, long version, Buffer bytes) {
    double factor = faults.valueOr(Fault.SLOWDOWN, 1);
    long delayMillis = (long) (settings.weightLoadMillis() * factor);
    timer.scheduleMillis(delayMillis, () -> swap(number, version, bytes));
  }

  private void swap(long number, long version, Buffer bytes) {
    if (faults.isOn(Fault.WEIGHT_LOAD_FAILURE)) {
      fail(number);
    } else if (number == loadNumber) {
      weightVersion = version;
      weights = bytes;
      loadingVersion = 0;
    }
  }

  private void fail(long number) {
    if (number == loadNumber) {
      failures++;
      loadingVersion = 0;
    }
  }
}
