package io.briarward.experiments.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.briarward.experiments.demo.HttpCalls.Reply;
import io.briarward.experiments.demo.HttpCalls.Request;
import io.briarward.standins.http.Json;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a trainer's step: posts a rollout to one node and fetches its groups from another. */
final class TrainingStep {
  /** The maximum number of tokens in a sample. */
  static final int MAX_TOKENS = 96;

  private static final String ROLLOUT_ID = "step-1";
  private static final long NEXT_VERSION = 2;
  private static final long WAIT_MILLIS = 2_000;
  private static final long RETRY_MILLIS = 250;
  private static final long CALL_TIMEOUT_MILLIS = 30_000;
  private static final long STEP_TIMEOUT_MILLIS = 90_000;

  private final HttpCalls http;
  private final DemoSettings settings;
  private final Target target;

  /**
   * The service to sample from and the trainer's credentials.
   *
   * @param service the model service
   * @param policy the rollout policy
   * @param secret the secret of the trainer's key
   */
  record Target(String service, String policy, String secret) {}

  /**
   * A delivered sample.
   *
   * @param group the id of its group
   * @param id its own id
   * @param json the sample as it was delivered
   */
  record DeliveredSample(String group, String id, JsonNode json) {}

  /**
   * The delivered groups and samples.
   *
   * @param groups the ids of the groups, in the order of delivery
   * @param samples the samples of all groups
   * @param elapsed the time from announcing the first weight version to the last group
   */
  record Result(
      ImmutableList<String> groups, ImmutableList<DeliveredSample> samples, Duration elapsed) {}

  TrainingStep(HttpCalls http, DemoSettings settings, Target target) {
    this.http = http;
    this.settings = settings;
    this.target = target;
  }

  /** Returns the prompt of a group. */
  static String prompt(int group) {
    return "Propose a winding recipe for tube " + group + " at the given tension and core.";
  }

  /** Returns the id of a group. */
  static String groupId(int group) {
    return "group-" + group;
  }

  /** Returns the seed of a group's first sample; each further sample adds 1. */
  static long seed(int group) {
    return 1_000L * (group + 1);
  }

  /** Runs the step, and announces a new weight version while it runs. */
  Result run() throws InterruptedException {
    if (settings.groups() == 0) {
      return new Result(ImmutableList.of(), ImmutableList.of(), Duration.ZERO);
    }
    final long startedNanos = System.nanoTime();
    announceWeights(1);
    submit();
    announceWeights(NEXT_VERSION);
    List<String> groups = new ArrayList<>();
    List<DeliveredSample> samples = new ArrayList<>();
    long cursor = 0;
    boolean done = false;
    long deadlineNanos = startedNanos + TimeUnit.MILLISECONDS.toNanos(STEP_TIMEOUT_MILLIS);
    while (!done && System.nanoTime() < deadlineNanos) {
      JsonNode answer = fetch(cursor);
      answer.path("groups").forEach(group -> addGroup(group, groups, samples));
      cursor = answer.path("cursor").asLong();
      done = answer.path("done").asBoolean();
    }
    return new Result(
        ImmutableList.copyOf(groups),
        ImmutableList.copyOf(samples),
        Duration.ofNanos(System.nanoTime() - startedNanos));
  }

  private static void addGroup(JsonNode group, List<String> groups, List<DeliveredSample> samples) {
    String id = group.path("id").asText();
    groups.add(id);
    for (JsonNode sample : group.path("samples")) {
      samples.add(new DeliveredSample(id, sample.path("id").asText(), sample));
    }
  }

  private void announceWeights(long version) throws InterruptedException {
    ObjectNode body = Json.object().put("service", target.service()).put("version", version);
    sendUntilAccepted(
        Request.of(HttpMethod.POST, settings.nodes().get(0).httpPort(), "/v1/weights", body));
  }

  private void submit() throws InterruptedException {
    ObjectNode body =
        Json.object()
            .put("id", ROLLOUT_ID)
            .put("service", target.service())
            .put("policy", target.policy())
            .put("step", 1);
    ArrayNode groups = body.putArray("groups");
    for (int group = 0; group < settings.groups(); group++) {
      groups
          .addObject()
          .put("id", groupId(group))
          .put("prompt", prompt(group))
          .put("samples", settings.samples())
          .putObject("sampling")
          .put("maxTokens", MAX_TOKENS)
          .put("temperature", 0.7)
          .put("seed", seed(group));
    }
    sendUntilAccepted(
        Request.of(HttpMethod.POST, settings.nodes().get(0).httpPort(), "/v1/rollouts", body));
  }

  private JsonNode fetch(long cursor) throws InterruptedException {
    int port = settings.nodes().get(settings.nodes().size() - 1).httpPort();
    String uri =
        String.format(
            "/v1/rollouts/%s/groups?after=%d&waitMillis=%d", ROLLOUT_ID, cursor, WAIT_MILLIS);
    return sendUntilAccepted(Request.get(port, uri)).json();
  }

  /** Retries an idempotent call while no response, status 429 or a server error is returned. */
  private Reply sendUntilAccepted(Request request) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS);
    Reply reply = new Reply(0, "no response");
    while (System.nanoTime() < deadlineNanos) {
      reply =
          http.send(request.withBearer(target.secret()))
              .onErrorReturn(error -> new Reply(0, error.toString()))
              .blockingGet();
      boolean retryable = reply.status() == 0 || reply.status() == 429 || reply.status() >= 500;
      if (!retryable) {
        break;
      }
      Thread.sleep(RETRY_MILLIS);
    }
    if (reply.status() < 200 || reply.status() >= 300) {
      throw new IllegalStateException(request.uri() + " failed: " + reply);
    }
    return reply;
  }
}
