package io.briarward.node.rollout;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import io.briarward.core.configuration.RolloutPolicy;
import io.briarward.core.configuration.Service;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.FailureException;
import io.briarward.core.rollout.GroupsAnswer;
import io.briarward.core.rollout.RolloutCodec;
import io.briarward.core.rollout.RolloutHeader;
import io.briarward.core.rollout.RolloutKey;
import io.briarward.core.rollout.RolloutSpec;
import io.briarward.core.weights.WeightAnnouncement;
import io.briarward.node.TrainerApi;
import io.briarward.node.http.BodyReader;
import io.briarward.node.http.HttpAnswers;
import io.briarward.node.live.Caller;
import io.briarward.node.platform.PlatformException;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Serves the trainers' HTTP interface. Confined to the event loop. */
final class RolloutApi implements TrainerApi {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int ACCEPTED = 202;
  private static final int NO_CONTENT = 204;
  private static final long MAX_WAIT_MILLIS = 60_000;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final RolloutService service;
  private final TrainerAuthentication authentication;
  private final BodyReader bodies;
  private final long maxBodyBytes;

  RolloutApi(
      RolloutService service,
      TrainerAuthentication authentication,
      BodyReader bodies,
      long maxBodyBytes) {
    this.bodies = bodies;
    this.service = service;
    this.authentication = authentication;
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  public void handle(HttpServerRequest request) {
    try {
      Caller caller = authentication.authenticate(request);
      respond(request, route(request, caller));
    } catch (FailureException | IllegalArgumentException e) {
      HttpAnswers.problem(request, toFailure(e));
    }
  }

  private Completable route(HttpServerRequest request, Caller caller) {
    ImmutableList<String> path =
        ImmutableList.copyOf(Splitter.on('/').omitEmptyStrings().split(request.path()));
    String method = request.method().name();
    String resource = path.get(1);
    if (method.equals("POST") && resource.equals("weights")) {
      return announce(request, caller);
    }
    if (method.equals("POST") && path.size() == 2) {
      return submit(request, caller);
    }
    if (method.equals("DELETE") && path.size() == 3) {
      return cancel(request, key(caller, path));
    }
    boolean groups = path.size() == 4 && path.get(3).equals("groups");
    if (method.equals("GET") && groups) {
      return groups(request, caller, key(caller, path));
    }
    throw rejection(ErrorKind.NOT_FOUND, "no operation " + method + " " + request.path());
  }

  private static RolloutKey key(Caller caller, ImmutableList<String> path) {
    return new RolloutKey(caller.organisation(), path.get(2));
  }

  private Completable submit(HttpServerRequest request, Caller caller) {
    return readBody(request, caller)
        .map(body -> RolloutCodec.parseSpec(body.getBytes()))
        .flatMap(
            spec ->
                service
                    .submit(new RolloutKey(caller.organisation(), spec.id()), spec, policy(spec))
                    .doOnSuccess(accepted -> respondSubmitted(request, spec, accepted)))
        .ignoreElement();
  }

  private static void respondSubmitted(
      HttpServerRequest request, RolloutSpec spec, Submissions.SubmitResult result) {
    RolloutHeader header = result.header();
    ObjectNode answer = JsonNodeFactory.instance.objectNode();
    answer.put("id", spec.id());
    answer.put("state", header.cancelled() ? "cancelled" : "running");
    answer.put("groups", header.groups());
    HttpAnswers.json(request, result.created() ? CREATED : OK, answer);
  }

  private RolloutPolicy policy(RolloutSpec spec) {
    RolloutPolicy policy =
        authentication
            .tables()
            .configuration()
            .rolloutPolicy(spec.policy())
            .orElseThrow(() -> rejection(ErrorKind.NOT_FOUND, "no policy " + spec.policy()));
    if (!policy.service().equals(spec.service())) {
      String detail = "policy " + policy.id() + " is for service " + policy.service();
      throw rejection(ErrorKind.MALFORMED_REQUEST, detail);
    }
    return policy;
  }

  private Completable cancel(HttpServerRequest request, RolloutKey key) {
    request.resume();
    return service
        .cancel(key)
        .andThen(Completable.fromAction(() -> HttpAnswers.empty(request, NO_CONTENT)));
  }

  private Completable groups(HttpServerRequest request, Caller caller, RolloutKey key) {
    request.resume();
    long cursor = parameter(request, "after", Long.MAX_VALUE);
    long waitMillis = parameter(request, "waitMillis", MAX_WAIT_MILLIS);
    return service
        .groups(key, cursor, waitMillis)
        .doOnSuccess(answer -> respondGroups(request, caller, answer))
        .ignoreElement();
  }

  private void respondGroups(HttpServerRequest request, Caller caller, GroupsAnswer answer) {
    if (!authentication.isGranted(caller)) {
      throw rejection(ErrorKind.UNKNOWN_KEY, ErrorKind.UNKNOWN_KEY.title());
    }
    if (!request.response().closed()) {
      request
          .response()
          .putHeader("Content-Type", "application/json")
          .end(Buffer.buffer(RolloutCodec.printAnswer(answer)));
    }
  }

  private static long parameter(HttpServerRequest request, String name, long max) {
    String text = Optional.ofNullable(request.getParam(name)).orElse("0");
    Long value = Longs.tryParse(text);
    if (value == null || value < 0 || value > max) {
      throw rejection(ErrorKind.MALFORMED_REQUEST, name + " is not a number from 0 to " + max);
    }
    return value;
  }

  private Completable announce(HttpServerRequest request, Caller caller) {
    return readBody(request, caller)
        .map(body -> RolloutCodec.parseAnnouncement(body.getBytes()))
        .doOnSuccess(this::checkModelService)
        .flatMapCompletable(service::announce)
        .andThen(
            Completable.fromAction(
                () -> HttpAnswers.json(request, ACCEPTED, JsonNodeFactory.instance.objectNode())));
  }

  private void checkModelService(WeightAnnouncement announcement) {
    Optional<Service> found =
        authentication.tables().configuration().service(announcement.service());
    if (found.filter(each -> each.kind() == Service.Kind.MODEL).isEmpty()) {
      throw rejection(ErrorKind.NOT_FOUND, "no model service " + announcement.service());
    }
  }

  /** Reads the body. Rejects one that contains the caller's key, since prompts go upstream. */
  private Single<Buffer> readBody(HttpServerRequest request, Caller caller) {
    return bodies
        .read(request, maxBodyBytes)
        .doOnSuccess(
            body -> {
              String text = body.toString(StandardCharsets.UTF_8);
              if (caller.secret().filter(text::contains).isPresent()) {
                throw rejection(ErrorKind.MALFORMED_REQUEST, "the body holds the key");
              }
            });
  }

  private static void respond(HttpServerRequest request, Completable operation) {
    SerialDisposable running = new SerialDisposable();
    request.response().closeHandler(unused -> running.dispose());
    running.set(
        operation.subscribe(() -> {}, cause -> HttpAnswers.problem(request, toFailure(cause))));
  }

  /** Converts an error; an operation that the store did not confirm may still take effect. */
  private static Failure toFailure(Throwable cause) {
    if (cause instanceof PlatformException platform) {
      boolean none = platform.effect() == PlatformException.Effect.NONE;
      String detail = platform.getMessage();
      Failure unknown = Failure.unknown(ErrorKind.STORE_UNAVAILABLE, detail);
      return none
          ? Failure.notRun(ErrorKind.STORE_UNAVAILABLE, detail, RETRY_AFTER_MILLIS)
          : new Failure(
              unknown.kind(), detail, unknown.runState(), Optional.of(RETRY_AFTER_MILLIS));
    }
    if (cause instanceof IllegalArgumentException) {
      return Failure.notRun(ErrorKind.MALFORMED_REQUEST, cause.getMessage());
    }
    return HttpAnswers.failureOf(cause);
  }

  private static FailureException rejection(ErrorKind kind, String detail) {
    return Failure.notRun(kind, detail).toException();
  }
}
