package io.briarward.experiments.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.briarward.experiments.demo.HttpCalls.Reply;
import io.briarward.experiments.demo.HttpCalls.Request;
import io.briarward.standins.engine.CompletionText;
import io.briarward.standins.http.Json;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Sends live requests at a fixed rate, independently of the answers (an open-loop load). */
final class LiveCallers {
  private static final long INTERVAL_MILLIS = 20;
  private static final int MAX_TOKENS = 24;
  private static final String TIMEOUT_HEADER = "X-Timeout-Millis";
  private static final long COMPLETION_TIMEOUT_MILLIS = 20_000;
  private static final long LOOKUP_TIMEOUT_MILLIS = 2_000;
  private static final String DATA_PREFIX = "data: ";
  private static final String DONE = "data: [DONE]";

  private final HttpCalls http;
  private final ImmutableList<Integer> ports;
  private final ImmutableList<CallerKey> keys;

  /**
   * A key that a caller presents.
   *
   * @param organisation the organisation that its requests are billed to
   * @param secret the secret of the key
   */
  record CallerKey(String organisation, String secret) {}

  /** How a request ended. */
  enum Verdict {
    /** The complete and correct answer was received. */
    CORRECT,
    /** The request was rejected before it ran. */
    REJECTED,
    /** The deadline expired. */
    LATE,
    /** The answer was wrong, incomplete or missing. */
    WRONG
  }

  /**
   * The outcome of one request.
   *
   * @param organisation the organisation that it is billed to
   * @param streamed whether it was a streamed completion, else an order lookup
   * @param verdict how it ended
   * @param tokens the number of tokens in the completion
   * @param detail the response or error, empty for a correct answer
   */
  record Outcome(
      String organisation, boolean streamed, Verdict verdict, int tokens, String detail) {}

  LiveCallers(HttpCalls http, ImmutableList<Integer> ports, ImmutableList<CallerKey> keys) {
    this.http = http;
    this.ports = ports;
    this.keys = keys;
  }

  /** Sends the requests and returns the outcome of each. */
  Single<List<Outcome>> run(int requests) {
    return Observable.intervalRange(0, requests, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        .flatMapSingle(number -> call(number.intValue()))
        .toList();
  }

  private Single<Outcome> call(int number) {
    CallerKey key = keys.get(number % keys.size());
    int port = ports.get(number % ports.size());
    boolean streamed = number % 2 == 0;
    return streamed ? complete(number, port, key) : lookUp(number, port, key);
  }

  private Single<Outcome> complete(int number, int port, CallerKey key) {
    String prompt = "Live question " + number + " of " + key.organisation();
    ObjectNode body =
        Json.object()
            .put("model", "recipe")
            .put("prompt", prompt)
            .put("seed", number)
            .put("max_tokens", MAX_TOKENS)
            .put("stream", true);
    Request request =
        Request.of(HttpMethod.POST, port, "/v1/completions", body)
            .withHeader("Content-Type", "application/json")
            .withHeader(TIMEOUT_HEADER, Long.toString(COMPLETION_TIMEOUT_MILLIS))
            .withBearer(key.secret());
    String expected = CompletionText.text(prompt, number, MAX_TOKENS);
    final long startedNanos = System.nanoTime();
    return http.send(request)
        .map(reply -> judgeCompletion(key, reply, expected))
        .onErrorReturn(
            error -> judgeFailure(key, true, error, startedNanos, COMPLETION_TIMEOUT_MILLIS));
  }

  private Single<Outcome> lookUp(int number, int port, CallerKey key) {
    String uri = "/orders/" + number + "?of=" + key.organisation();
    Request request =
        Request.get(port, uri)
            .withHeader(TIMEOUT_HEADER, Long.toString(LOOKUP_TIMEOUT_MILLIS))
            .withBearer(key.secret());
    final long startedNanos = System.nanoTime();
    return http.send(request)
        .map(reply -> judgeLookup(key, reply, uri))
        .onErrorReturn(
            error -> judgeFailure(key, false, error, startedNanos, LOOKUP_TIMEOUT_MILLIS));
  }

  private static Outcome judgeCompletion(CallerKey key, Reply reply, String expected) {
    if (reply.status() != 200) {
      return judgeError(key, true, reply);
    }
    String text = streamedText(reply.body());
    boolean complete = reply.body().strip().endsWith(DONE) && text.equals(expected);
    int tokens = text.length() / CompletionText.CHARS_PER_TOKEN;
    Verdict verdict = complete ? Verdict.CORRECT : Verdict.WRONG;
    return new Outcome(key.organisation(), true, verdict, tokens, complete ? "" : reply.body());
  }

  private static Outcome judgeLookup(CallerKey key, Reply reply, String uri) {
    if (reply.status() != 200) {
      return judgeError(key, false, reply);
    }
    boolean matches = reply.json().path("path").asText().equals(uri);
    Verdict verdict = matches ? Verdict.CORRECT : Verdict.WRONG;
    return new Outcome(key.organisation(), false, verdict, 0, matches ? "" : reply.body());
  }

  private static Outcome judgeError(CallerKey key, boolean streamed, Reply reply) {
    JsonNode problem = reply.body().startsWith("{") ? reply.json() : Json.object();
    boolean late = reply.status() == 504;
    boolean notRun = problem.path("run").asText().equals("not-run");
    boolean rejected = notRun && (reply.status() == 429 || reply.status() == 503);
    Verdict verdict = late ? Verdict.LATE : rejected ? Verdict.REJECTED : Verdict.WRONG;
    return new Outcome(key.organisation(), streamed, verdict, 0, reply.toString());
  }

  /** Judges a request without a complete response: late if its deadline has expired, else wrong. */
  private static Outcome judgeFailure(
      CallerKey key, boolean streamed, Throwable error, long startedNanos, long timeoutMillis) {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    Verdict verdict = elapsedMillis >= timeoutMillis ? Verdict.LATE : Verdict.WRONG;
    return new Outcome(key.organisation(), streamed, verdict, 0, error.toString());
  }

  private static String streamedText(String body) {
    StringBuilder text = new StringBuilder();
    body.lines()
        .filter(line -> line.startsWith(DATA_PREFIX + "{"))
        .map(line -> Json.parse(line.substring(DATA_PREFIX.length())))
        .forEach(chunk -> text.append(chunk.at("/choices/0/text").asText()));
    return text.toString();
  }
}
