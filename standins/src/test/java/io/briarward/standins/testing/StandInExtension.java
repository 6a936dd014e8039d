package io.briarward.standins.testing;

import com.google.common.collect.ImmutableMap;
import io.briarward.standins.StandIns;
import io.briarward.standins.http.Address;
import io.briarward.standins.http.RunningStandIn;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Starts stand-ins whose clock the test advances, and closes them after the test. */
public final class StandInExtension implements AfterEachCallback {
  private static final int MAX_ADVANCE_MILLIS = 10_000;

  private final TestScheduler scheduler = new TestScheduler();
  private final Vertx vertx = Vertx.vertx();
  private final List<RunningStandIn> started = new ArrayList<>();

  /** Starts a stand-in with options given as alternating names and values. */
  public TestClient start(StandIns.Name name, String... options) {
    ImmutableMap.Builder<String, String> byName = ImmutableMap.builder();
    for (int i = 0; i < options.length; i += 2) {
      byName.put(options[i], options[i + 1]);
    }
    RunningStandIn running =
        StandIns.create(vertx, scheduler)
            .start(name, Address.ephemeral(), byName.buildOrThrow())
            .blockingGet();
    started.add(running);
    return TestClient.of(running.port());
  }

  /**
   * Advances the clock and returns once the timers that became due have run.
   *
   * <p>The stand-in's event loop runs them before it responds to the request sent here.
   */
  public void advance(TestClient client, long millis) {
    advanceTime(millis);
    client.get("/control/state");
  }

  /** Advances the clock without waiting for the timers that became due. */
  public void advanceTime(long millis) {
    scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
  }

  /**
   * Advances the clock in steps of one millisecond until the condition holds.
   *
   * @throws AssertionError if the condition does not hold in time
   */
  public void advanceUntil(TestClient client, Predicate<TestClient> condition) {
    for (int i = 0; i < MAX_ADVANCE_MILLIS; i++) {
      if (condition.test(client)) {
        return;
      }
      advance(client, 1);
    }
    throw new AssertionError("the condition does not hold after " + MAX_ADVANCE_MILLIS + " ms");
  }

  /** Sends a request, advances the clock until the response arrives, and returns the response. */
  public TestClient.Reply send(
      TestClient client, String method, String path, String body, String... headers) {
    CompletableFuture<TestClient.Reply> reply =
        CompletableFuture.supplyAsync(() -> client.send(method, path, body, headers));
    advanceUntil(client, unused -> reply.isDone());
    return reply.join();
  }

  @Override
  public void afterEach(ExtensionContext context) {
    started.forEach(RunningStandIn::close);
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
